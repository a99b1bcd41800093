package relay

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/marblering/marblering/state/result"
)

// fail answers with the failure, in the form of docs/RESULT-CODES.md. The answer has no
// header of a back end. Its pause stands in Retry-After alone, which has fractions of a
// second.
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
		// Numbers and texts always have a JSON form. The status says the rest.
		c.handler.options.Logger.Error("refusal has no body", zap.String("request", c.input.facts.ID), zap.Error(err))
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.discardBody(header)
	c.writeHeader(failure.Code.Info().HTTP)
	// A failed write means that the client has left; nobody is there to be told.
	_, _ = c.writer.Write(body)
}

// abort breaks the client's connection, so that what was written doesn't look whole.
func (c *call) abort(code result.Code, cause error) {
	c.response.code = code
	c.response.reason = cause.Error()
	panic(http.ErrAbortHandler)
}

// report writes the log line of the request and counts it.
func (c *call) report() {
	took := c.handler.options.Now().Sub(c.timing.arrived)
	c.handler.options.Metrics.observe(c, took)
	fields := []zap.Field{
		zap.String("request", c.input.facts.ID), zap.String("key", c.input.facts.Key),
		zap.String("route", c.routeName()), zap.Int64("configuration", c.routing.configVersion), c.ageField(),
		zap.String("tenant", c.tenantName()),
		zap.Int("status", c.response.status), zap.Uint32("code", uint32(c.response.code)),
		zap.Strings("instances", c.attempts.instances), zap.Int("sends", c.attempts.sends),
		zap.Duration("permitted", c.timing.permitWait), zap.Duration("prepared", c.timing.prepared),
		zap.Duration("first_byte", c.timing.firstByte), zap.Duration("stored", c.timing.storeTime),
		zap.Duration("took", took), zap.Duration("allowed", c.timing.timeout()),
	}
	if c.response.code == result.OK {
		c.handler.options.Answered.Info("answered", fields...)
		return
	}
	c.handler.options.Logger.Info("not answered", append(fields, zap.String("reason", c.response.reason))...)
}

// ageField is the age of the configuration that the request was decided by.
func (c *call) ageField() zap.Field {
	if !c.routing.configAgeKnown {
		return zap.String("configuration_age", "unknown")
	}
	return zap.Duration("configuration_age", c.routing.configAge)
}

// routeName is empty before the route was found.
func (c *call) routeName() string {
	if c.routing.route == nil {
		return ""
	}
	return c.routing.route.Name
}
