package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Paths served by the handler.
const (
	MetricsPath = "/metrics"
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
)

// readyTimeout limits the time of all checks of one readiness request.
const readyTimeout = 2 * time.Second

// NewHandler returns a handler for the metrics, liveness and readiness of a node.
//
//   - /metrics: the gathered metrics in the Prometheus text format;
//   - /healthz: 200 while the process responds;
//   - /readyz: 200 if every check passes, otherwise 503, with one line per check.
func NewHandler(metrics prometheus.Gatherer, readiness *Readiness) http.Handler {
	return NewHandlerWithReadyPath(ReadyPath, metrics, readiness)
}

// NewHandlerWithReadyPath is like NewHandler but serves readiness at readyPath.
func NewHandlerWithReadyPath(readyPath string, metrics prometheus.Gatherer, readiness *Readiness) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+MetricsPath, promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+HealthPath, serveHealth)
	mux.Handle("GET "+readyPath, readinessHandler{readiness: readiness})
	return mux
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

// readinessHandler serves the readiness of a node.
type readinessHandler struct {
	readiness *Readiness
}

// ServeHTTP implements http.Handler. It runs all checks and writes one line per check.
func (h readinessHandler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), readyTimeout)
	defer cancel()
	status := http.StatusOK
	var report strings.Builder
	for _, result := range h.readiness.Run(ctx) {
		if result.Err != nil {
			status = http.StatusServiceUnavailable
			fmt.Fprintf(&report, "%s: %v\n", result.Name, result.Err)
			continue
		}
		fmt.Fprintf(&report, "%s: ok\n", result.Name)
	}
	writeText(w, status, report.String())
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_, _ = w.Write([]byte(text))
}
