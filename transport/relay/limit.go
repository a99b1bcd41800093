package relay

import (
	"errors"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/transport/upstream"
)

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
