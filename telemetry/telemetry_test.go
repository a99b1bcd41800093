package telemetry_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/telemetry"
)

func TestLoggerWritesOneLinePerEntry(t *testing.T) {
	cases := []struct {
		name   string
		fields []zap.Field
		want   string
	}{
		{"plain", []zap.Field{zap.Int("attempt", 2)}, " attempt=2"},
		{"duration in seconds", []zap.Field{zap.Duration("waited", 1500*time.Millisecond)}, " waited=1.5"},
		{"line break", []zap.Field{zap.String("text", "a\nb")}, ` text="a\nb"`},
		{"error with a stack", []zap.Field{zap.Error(merry.New("lost\nanswer"))}, ` error="lost\nanswer"`},
		{"no error", []zap.Field{zap.Error(nil)}, ` node=n1`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			logger := telemetry.NewLogger(&out, zapcore.InfoLevel, zap.String("node", "n1"))
			logger.Debug("hidden")
			logger.Info("call finished", c.fields...)
			line := out.String()
			assert.Equal(t, strings.Count(line, "\n"), 1, line)
			assert.Assert(t, strings.HasSuffix(line, "\n"))
			assert.Assert(t, strings.Contains(line, ` level=info msg="call finished" node=n1`), line)
			assert.Assert(t, strings.HasSuffix(line, c.want+"\n"), line)
		})
	}
}

func get(t *testing.T, handler http.Handler, path string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder
}

func TestMetricsAndHealth(t *testing.T) {
	handler := telemetry.NewHandler(telemetry.NewRegistry(), telemetry.NewReadiness())
	metrics := get(t, handler, telemetry.MetricsPath)
	assert.Equal(t, metrics.Code, http.StatusOK)
	for _, name := range []string{"go_goroutines", "process_cpu_seconds_total"} {
		assert.Assert(t, strings.Contains(metrics.Body.String(), "\n"+name+" "), name)
	}
	assert.Equal(t, get(t, handler, telemetry.HealthPath).Code, http.StatusOK)
	assert.Equal(t, get(t, handler, "/other").Code, http.StatusNotFound)
}

func TestReadinessReflectsChecks(t *testing.T) {
	readiness := telemetry.NewReadiness()
	handler := telemetry.NewHandler(telemetry.NewRegistry(), readiness)
	assert.Equal(t, get(t, handler, telemetry.ReadyPath).Code, http.StatusOK)

	var failure error
	readiness.Add("peers", func(context.Context) error { return nil })
	readiness.Add("configuration", func(context.Context) error { return failure })
	failure = errors.New("none yet")
	answer := get(t, handler, telemetry.ReadyPath)
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	assert.Equal(t, answer.Body.String(), "peers: ok\nconfiguration: none yet\n")

	failure = nil
	assert.Equal(t, get(t, handler, telemetry.ReadyPath).Code, http.StatusOK)
}
