package relay

import (
	"errors"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/transport/upstream"
)

// maxCommentBytes limits the comments of a stream before its first event and between two
// events.
const maxCommentBytes = 16 << 10

// Limits on a stream.
const (
	limitEventBytes upstream.Limit = "event_bytes"
	// limitEventTime is that of the first event, see firstEventLimit.
	limitEventTime    upstream.Limit = "event_time"
	limitCommentBytes upstream.Limit = "comment_bytes"
	// limitTurnBytes is that of the output of a retained turn, see conversation.OutputError.
	limitTurnBytes upstream.Limit = "turn_bytes"
)

// comments counts the comments of a stream since its last event, and holds those before the
// first event: until then the request can be sent to another instance.
type comments struct {
	held  []byte
	bytes int
}

// add counts a comment and holds it if no header has been written to the client.
func (c *comments) add(comment event, headerWritten bool) error {
	c.bytes += len(comment.raw)
	if c.bytes > maxCommentBytes {
		return &upstream.LimitError{Limit: limitCommentBytes, Bytes: c.bytes}
	}
	if !headerWritten {
		c.held = append(c.held, comment.raw...)
	}
	return nil
}

// take returns the comments that were held before an event, and begins to count anew.
func (c *comments) take() []byte {
	held := c.held
	*c = comments{}
	return held
}

// isAnswerTooLarge reports whether a limit on the whole answer ended an attempt. Another instance
// would add to the part that the client has, or to the output of a retained turn.
func isAnswerTooLarge(cause error, headerWritten bool) bool {
	var exceeded *upstream.LimitError
	if !errors.As(cause, &exceeded) {
		return false
	}
	return exceeded.Limit == limitTurnBytes || headerWritten && exceeded.Limit == upstream.LimitBodyBytes
}

// observeLimit logs and counts an attempt that ended since the instance exceeded a limit.
func (c *call) observeLimit(assignment *backend.Assignment, cause error) {
	var exceeded *upstream.LimitError
	if !errors.As(cause, &exceeded) {
		return
	}
	c.handler.options.Metrics.limits.WithLabelValues(string(exceeded.Limit)).Inc()
	c.handler.options.Logger.Info("back end exceeded a limit",
		zap.String("request", c.input.info.ID), zap.String("route", c.routing.route.Name),
		zap.String("instance", assignment.Instance.ID), zap.String("address", assignment.Instance.Address),
		zap.String("limit", string(exceeded.Limit)), zap.Int("read", exceeded.Bytes), zap.Bool("began", c.response.headerWritten))
}
