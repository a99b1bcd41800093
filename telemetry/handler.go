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

// Paths that the handler serves.
const (
	MetricsPath = "/metrics"
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
)

// readyTimeout bounds the checks of one readiness request (chosen, not measured).
const readyTimeout = 2 * time.Second

// NewHandler serves the metrics, the liveness and the readiness of a node.
//
//   - /metrics: the gathered metrics in Prometheus' text format;
//   - /healthz: 200 as long as the process answers;
//   - /readyz: 200 when every check passes, otherwise 503; one line a check.
func NewHandler(metrics prometheus.Gatherer, readiness *Readiness) http.Handler {
	return NewHandlerAt(ReadyPath, metrics, readiness)
}

// NewHandlerAt is NewHandler with another path for the readiness.
func NewHandlerAt(readyPath string, metrics prometheus.Gatherer, readiness *Readiness) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+MetricsPath, promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+HealthPath, serveHealth)
	mux.Handle("GET "+readyPath, readyHandler{readiness: readiness})
	return mux
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

// readyHandler answers whether the node is ready.
type readyHandler struct {
	readiness *Readiness
}

// ServeHTTP implements http.Handler: it runs the checks and reports one line each.
func (h readyHandler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
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
	// A failed write means that the client left; nobody is there to be told.
	_, _ = w.Write([]byte(text))
}
