package relay

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/marblering/marblering/state/result"
)

// failureBody is the JSON body of this node's own answers, in the form of
// docs/RESULT-CODES.md.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Code      result.Code      `json:"code"`
	Type      string           `json:"type"`
	Message   string           `json:"message"`
	Execution result.Execution `json:"execution"`
	Repeat    result.Repeat    `json:"repeat"`
}

// fail gives this node's own answer. It never carries a back end's header.
func (c *call) fail(failure *result.Error) {
	info := failure.Code.Info()
	c.reply.code = failure.Code
	c.reply.reason = failure.Message
	header := c.writer.Header()
	clear(header)
	header.Set("Content-Type", "application/json")
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", retryAfter(failure.RetryAfter, rand.N(failure.RetryAfter)))
	}
	body, err := json.Marshal(failureBody{Error: failureDetail{
		Code: failure.Code, Type: info.Name, Message: failure.Message,
		Execution: info.Execution, Repeat: info.Repeat,
	}})
	if err != nil {
		body = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.leaveBody(header)
	c.begin(info.HTTP)
	_, _ = c.writer.Write(body)
}

// abort breaks the caller's connection: what was written must not look whole.
func (c *call) abort(code result.Code, cause error) {
	c.reply.code = code
	c.reply.reason = cause.Error()
	panic(http.ErrAbortHandler)
}

// report writes the line and the figures of the request.
func (c *call) report() {
	took := c.handler.options.Now().Sub(c.times.arrived)
	c.handler.options.Metrics.observe(c, took)
	fields := []zap.Field{
		zap.String("request", c.asked.facts.ID), zap.String("key", c.asked.facts.Key),
		zap.String("route", c.routeName()), zap.Int64("configuration", c.basis.version), c.ageField(),
		zap.String("tenant", c.tenantName()),
		zap.Int("status", c.reply.status), zap.Uint32("code", uint32(c.reply.code)),
		zap.Strings("instances", c.tried.instances), zap.Int("sends", c.tried.sends),
		zap.Duration("permitted", c.times.permitted), zap.Duration("prepared", c.times.prepared),
		zap.Duration("first_byte", c.times.firstByte), zap.Duration("stored", c.times.stored),
		zap.Duration("took", took), zap.Duration("allowed", c.times.allowed()),
	}
	if c.reply.code == result.OK {
		c.handler.options.Answered.Info("answered", fields...)
		return
	}
	c.handler.options.Logger.Info("not answered", append(fields, zap.String("reason", c.reply.reason))...)
}

// ageField tells how old the configuration was that the request was decided by.
func (c *call) ageField() zap.Field {
	if !c.basis.ageKnown {
		return zap.String("configuration_age", "unknown")
	}
	return zap.Duration("configuration_age", c.basis.age)
}

func (c *call) routeName() string {
	if c.basis.route == nil {
		return ""
	}
	return c.basis.route.Name
}
