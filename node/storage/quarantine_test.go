package storage

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/quarantine"
)

// TestOperatorClearsQuarantine checks that operators see which requests are quarantined, and
// can have them sent again.
func TestOperatorClearsQuarantine(t *testing.T) {
	n := &Node{logger: zap.NewNop(), limitedLogger: zap.NewNop()}
	n.crashes = quarantine.NewTable(1, time.Now, n.logQuarantine)
	lethal := quarantine.FingerprintOf([]byte("lethal"))
	for number := range quarantine.MaxCrashes {
		n.crashes.Report(quarantine.Crash{Fingerprint: lethal, Instance: fmt.Sprint("i-", number)})
	}
	n.crashes.Report(quarantine.Crash{Fingerprint: quarantine.FingerprintOf([]byte("suspect")), Instance: "i-0"})
	handler := n.withQuarantine(http.NotFoundHandler())
	list := func() (entries []quarantineEntry) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, quarantinePath, nil))
		assert.Equal(t, recorder.Code, http.StatusOK)
		assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &entries))
		return entries
	}
	entries := list()
	assert.Equal(t, len(entries), 2)
	assert.Equal(t, entries[0].Fingerprint, lethal.String())
	assert.Assert(t, entries[0].Quarantined && !entries[1].Quarantined)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodDelete, quarantinePath, nil))
	assert.Equal(t, recorder.Code, http.StatusNoContent)
	assert.Equal(t, len(list()), 0)
	assert.Equal(t, n.crashes.Find(lethal).Crashes, 0)
}
