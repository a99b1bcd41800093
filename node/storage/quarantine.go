package storage

import (
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/quarantine"
)

// quarantinePath lists the requests under which instances have crashed (GET), and forgets
// all crashes (DELETE).
const quarantinePath = "/quarantine"

// logQuarantine logs that a request isn't sent any more.
func (n *Node) logQuarantine(fingerprint quarantine.Fingerprint, instances []string) {
	n.limitedLogger.Warn("request quarantined", zap.Stringer("fingerprint", fingerprint), zap.Strings("instances", instances))
}

// quarantineEntry is a request in the list for operators.
type quarantineEntry struct {
	Fingerprint string `json:"fingerprint"`
	Crashes     int    `json:"crashes"`
	Quarantined bool   `json:"quarantined"`
	RemainingMs int64  `json:"remaining_ms"`
}

// withQuarantine adds quarantinePath to the handler for operators.
func (n *Node) withQuarantine(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("GET "+quarantinePath, func(w http.ResponseWriter, _ *http.Request) {
		entries := []quarantineEntry{}
		for _, record := range n.crashes.Records() {
			entries = append(entries, quarantineEntry{
				Fingerprint: record.Fingerprint.String(), Crashes: record.Crashes,
				Quarantined: quarantine.IsQuarantined(record.Crashes), RemainingMs: record.Remaining.Milliseconds(),
			})
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client is gone.
		_ = json.NewEncoder(w).Encode(entries)
	})
	mux.HandleFunc("DELETE "+quarantinePath, func(w http.ResponseWriter, _ *http.Request) {
		n.logger.Info("quarantine cleared", zap.Int("requests", n.crashes.ClearAll()))
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
