package relay

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/marblering/marblering/state/result"
)

// fail responds with the failure, in the format of docs/RESULT-CODES.md, without any
// backend header. The retry delay is only in Retry-After, with fractions of a second.
func (c *call) fail(failure *result.Error) {
	c.response.code = failure.Code
	c.response.reason = failure.Message
	header := c.writer.Header()
	clear(header)
	header.Set("Content-Type", "application/json")
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", retryAfter(failure.RetryAfter, rand.N(failure.RetryAfter)))
	}
	body, err := json.Marshal(result.Body{Error: failure.Detail()})
	if err != nil {
		// Can't happen: numbers and strings can always be encoded. The status is sent anyway.
		c.handler.options.Logger.Error("cannot encode error response", zap.String("request", c.input.info.ID), zap.Error(err))
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.discardBody(header)
	c.writeHeader(failure.Code.Info().HTTP)
	// A write error means that the client is gone.
	_, _ = c.writer.Write(body)
}

// abort closes the client's connection, so that a partial response isn't taken for a
// complete one.
func (c *call) abort(code result.Code, cause error) {
	c.response.code = code
	c.response.reason = cause.Error()
	panic(http.ErrAbortHandler)
}

// report logs the request and updates the metrics.
func (c *call) report() {
	took := c.handler.options.Now().Sub(c.timing.arrived)
	c.handler.options.Metrics.observe(c, took)
	fields := []zap.Field{
		zap.String("request", c.input.info.ID), zap.String("key", c.input.info.AffinityKey),
		zap.String("route", c.routeName()), zap.Int64("configuration", c.routing.configVersion), c.ageField(),
		zap.String("tenant", c.tenantName()),
		zap.Int("status", c.response.status), zap.Uint32("code", uint32(c.response.code)),
		zap.Strings("instances", c.attempts.instances), zap.Strings("versions", c.attempts.versions), zap.Int("sends", c.attempts.sends),
		zap.Duration("permitted", c.timing.permitWait), zap.Duration("prepared", c.timing.prepared),
		zap.Duration("first_byte", c.timing.firstByte), zap.Duration("stored", c.timing.storeTime),
		zap.Duration("took", took), zap.Duration("allowed", c.timing.timeout()),
	}
	if c.isResumption() {
		fields = append(fields, c.originFields()...)
	}
	fields = append(fields, c.streamFields()...)
	fields = append(fields, c.quorumFields()...)
	if c.response.code == result.OK {
		c.handler.options.AccessLogger.Info("answered", fields...)
		return
	}
	c.handler.options.Logger.Info("not answered", append(fields, zap.String("reason", c.response.reason))...)
}

// ageField returns the log field with the age of the configuration used.
func (c *call) ageField() zap.Field {
	if !c.routing.configAgeKnown {
		return zap.String("configuration_age", "unknown")
	}
	return zap.Duration("configuration_age", c.routing.configAge)
}

// routeName returns the name of the route, or "" if none is set yet.
func (c *call) routeName() string {
	if c.routing.route == nil {
		return ""
	}
	return c.routing.route.Name
}
