package relay_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/transport/relay"
)

// TestMissingEntryIsOfTheNewestTable guards against a final 404 or 401 by a table that was
// replaced after it was read, while the new one, which has the route or key, is the newest.
func TestMissingEntryIsOfTheNewestTable(t *testing.T) {
	f := newKeyFixture(t, routetable.Safe)
	f.install(t, routetable.Safe)
	f.handler = relay.New(relay.Options{
		Tables: f.tables, HeaderCodec: keyHeaderCodec{}, MaxInFlight: 10, IsUnready: func() bool { return false },
		IsConfigurationNewest: func() bool {
			f.install(t, routetable.Safe, "key")
			return true
		},
		Metrics: relay.NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(), AccessLogger: zap.NewNop(), Now: time.Now,
	})
	request := httptest.NewRequest(http.MethodGet, "/x", nil)
	request.Host = "shop.example"
	recorder := httptest.NewRecorder()
	f.handler.ServeHTTP(recorder, request)
	assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
}
