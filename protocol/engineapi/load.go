package engineapi

import (
	"context"
	"net/http"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Load is what an engine reports about itself. The figures lag behind what it
// does.
type Load struct {
	RunningRequests float64
	WaitingRequests float64
	// OutstandingTokens is what is left to prefill and to decode.
	OutstandingTokens float64
	// CacheUsedTokens is the context memory of running requests and holds, in
	// tokens.
	CacheUsedTokens float64
	// CacheLimitTokens is all the context memory that the engine has, in tokens.
	CacheLimitTokens float64
	// PrefillTokensPerSecond is the measured speed of computing prompts.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the measured speed of one answer.
	DecodeTokensPerSecond float64
}

// Load reads the engine's metrics. A metric that the engine doesn't report is
// zero.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	ex := &exchange{address: address, method: http.MethodGet, path: "/metrics"}
	response, err := c.send(ctx, ex, nil)
	if err != nil {
		return Load{}, err
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return Load{}, ex.fail(Failed, err, "the metrics can't be read")
	}
	value := func(name string) float64 {
		metrics := families[name].GetMetric()
		if len(metrics) != 1 {
			return 0
		}
		if untyped := metrics[0].GetUntyped(); untyped != nil {
			return untyped.GetValue()
		}
		return metrics[0].GetGauge().GetValue()
	}
	return Load{
		RunningRequests:        value("engine_running_requests"),
		WaitingRequests:        value("engine_waiting_requests"),
		OutstandingTokens:      value("engine_outstanding_tokens"),
		CacheUsedTokens:        value("engine_cache_used_tokens"),
		CacheLimitTokens:       value("engine_cache_limit_tokens"),
		PrefillTokensPerSecond: value("engine_prefill_tokens_per_second"),
		DecodeTokensPerSecond:  value("engine_decode_tokens_per_second"),
	}, nil
}
