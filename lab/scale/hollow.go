package scale

import (
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/marblering/marblering/lab/deployment"
)

// enginesPerListener is how many hollow engines share one address, so that the
// run's sockets stay within a process's limit.
const enginesPerListener = 800

// hollowEngines are engines that answer what a node's control asks and run
// nothing.
type hollowEngines struct {
	servers []*httptest.Server
	engines []deployment.HollowEngine
}

func startHollowEngines(count, zones int) *hollowEngines {
	h := &hollowEngines{}
	for index := range count {
		if index%enginesPerListener == 0 {
			h.servers = append(h.servers, httptest.NewServer(hollowHandler()))
		}
		h.engines = append(h.engines, deployment.HollowEngine{
			Name:    fmt.Sprintf("hollow-%d", index+1),
			Address: h.servers[len(h.servers)-1].URL,
			Zone:    fmt.Sprintf("zone-%d", index%zones+1),
		})
	}
	return h
}

func (h *hollowEngines) close() {
	for _, server := range h.servers {
		server.CloseClientConnections()
		server.Close()
	}
}

func hollowHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", answer(`{"engine":"hollow","generation":"gen3","role":"mixed","models":["model-1"],"adapters":[],"fence":1,"leaving":false}`))
	mux.HandleFunc("GET /v1/holds", answer(`{"holds":[]}`))
	mux.HandleFunc("DELETE /v1/holds/{program}", answer("{}"))
	mux.HandleFunc("GET /metrics", answer(hollowMetrics))
	return mux
}

const hollowMetrics = `# TYPE engine_running_requests gauge
engine_running_requests 8
# TYPE engine_waiting_requests gauge
engine_waiting_requests 2
# TYPE engine_outstanding_tokens gauge
engine_outstanding_tokens 123456
# TYPE engine_cache_used_tokens gauge
engine_cache_used_tokens 2000000
# TYPE engine_cache_limit_tokens gauge
engine_cache_limit_tokens 4000000
# TYPE engine_prefill_tokens_per_second gauge
engine_prefill_tokens_per_second 7000
# TYPE engine_decode_tokens_per_second gauge
engine_decode_tokens_per_second 45
`

func answer(body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		// A poller that is gone needs no answer.
		_, _ = writer.Write([]byte(body))
	}
}
