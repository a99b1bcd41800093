package relay

import (
	"time"

	"github.com/marblering/marblering/transport/upstream"
)

// endSettle is how long the process of an answer has to run on after it if nothing but the end of its
// connection marks the end of the answer. It is shorter than the pauses that callers allow within a
// stream.
const endSettle = upstream.BreakSettle

// requiredSettle returns how long the process of the attempt has to run on after the answer, as far as it
// has come. What follows a stream that can be continued is asked of another instance.
func (c *call) requiredSettle(current *attempt) time.Duration {
	canContinue := c.routing.route.Resumable && c.response.order.lastID != ""
	if canContinue && !current.isContinuation {
		return 0
	}
	return endSettle
}
