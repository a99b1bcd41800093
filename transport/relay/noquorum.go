package relay

import (
	"errors"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/turnstore"
)

// recordNoQuorum counts and keeps, for the log line of the request, which replicas its turn
// lacked, if that is what err says.
func (c *call) recordNoQuorum(err error) {
	var failure *turnstore.NoQuorumError
	switch {
	case errors.As(err, &failure):
		c.response.noQuorum = failure
		c.handler.options.Metrics.countMissing(failure.Reasons()...)
	case errors.Is(err, turnstore.ErrNoQuorum):
		c.handler.options.Metrics.countMissing(turnstore.ReasonNoView)
	}
}

func (m *Metrics) countMissing(reasons ...turnstore.Reason) {
	for _, reason := range reasons {
		m.missingReplicas.WithLabelValues(string(reason)).Inc()
	}
}

// quorumFields returns the log fields of a turn that found no quorum.
func (c *call) quorumFields() []zap.Field {
	failure := c.response.noQuorum
	if failure == nil {
		return nil
	}
	return []zap.Field{
		zap.Uint32("shard", failure.Shard), zap.Uint64("epoch", failure.Epoch), zap.Strings("members", failure.MemberTexts()),
		zap.Int("rounds", failure.Rounds), zap.Duration("quorum_tried", failure.Tried),
	}
}
