package relay

import (
	"fmt"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/backend"
	"github.com/marblering/marblering/coordination/numbering"
	"github.com/marblering/marblering/coordination/routetable"
	"github.com/marblering/marblering/transport/upstream"
)

// passedEvents are the events of an attempt that were passed on to the client.
type passedEvents struct {
	count       int
	first, last string // ids; empty for an event without one
	// gaps counts the gaps before its events, firstGap is the first of them.
	gaps     int
	firstGap eventGap
}

func (p *passedEvents) addGap(gap eventGap) {
	if p.gaps == 0 {
		p.firstGap = gap
	}
	p.gaps++
}

func (p *passedEvents) add(id string) {
	if p.count == 0 {
		p.first = id
	}
	p.count++
	p.last = id
}

// streamRun describes for the log what one attempt added to a stream.
type streamRun struct {
	instance, version string
	passed            passedEvents
	framing           upstream.Framing
	ended             sendEnd
	// learned is how runs of the version were known to be numbered when it began.
	learned numbering.Scheme
}

// String returns the run as it stands in log lines.
func (r streamRun) String() string {
	text := fmt.Sprintf("%s version=%s events=%d first=%s last=%s framing=%s ended=%s ids=%s",
		r.instance, r.version, r.passed.count, r.passed.first, r.passed.last, r.framing, r.ended, r.learned)
	if r.passed.gaps > 0 {
		text += fmt.Sprintf(" gaps=%d first_gap=%s", r.passed.gaps, r.passed.firstGap)
	}
	return text
}

// recordRun notes how an attempt ended that got a response.
func (c *call) recordRun(current *attempt, how sendEnd) {
	if current.framing == "" {
		return
	}
	c.handler.options.Metrics.ends.WithLabelValues(string(current.framing), string(how)).Inc()
	if c.routing.route.Kind != routetable.Stream {
		return
	}
	instance := &current.assignment.Instance
	if !current.isContinuation {
		c.handler.numbering.Observe(softwareOf(instance), &current.received)
	}
	c.attempts.runs = append(c.attempts.runs, streamRun{
		instance: instance.ID, version: instance.Version, passed: current.passed, framing: current.framing, ended: how,
		learned: c.response.order.learned,
	})
}

// streamFields returns log fields that tell which request began a stream and which runs its events
// come from; none for other requests.
func (c *call) streamFields() []zap.Field {
	if c.routing.route == nil || c.routing.route.Kind != routetable.Stream {
		return nil
	}
	beganBy := c.input.info.ID
	if c.isResumption() {
		beganBy = c.input.info.Resumes
	}
	return []zap.Field{zap.String("began_by", beganBy), zap.Stringers("runs", c.attempts.runs)}
}

// softwareOf returns the software version of an instance.
func softwareOf(instance *backend.Instance) numbering.Version {
	return numbering.Version{Service: instance.Service, Software: instance.Version}
}
