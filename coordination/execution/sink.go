package execution

import (
	"strings"

	"github.com/ansel1/merry/v2"
)

// errDiverged means that a second attempt's text differs from what the caller
// has been sent.
var errDiverged = merry.New("a later attempt's text differs from the text already sent")

// guardedSink passes text on to the caller's sink and never mixes two attempts:
// a later attempt's text must begin with what was sent. Once the caller's sink
// has failed it stays silent, while the call itself goes on.
type guardedSink struct {
	sink    Sink
	sent    strings.Builder
	current strings.Builder
	err     error
}

func newGuardedSink(sink Sink) *guardedSink { return &guardedSink{sink: sink} }

// start begins an attempt.
func (g *guardedSink) start(start Start) {
	g.current.Reset()
	if g.err == nil && g.sent.Len() == 0 {
		g.err = g.sink.Started(start)
	}
}

// text takes the next piece of the current attempt.
func (g *guardedSink) text(piece string) {
	g.current.WriteString(piece)
	if g.err != nil {
		return
	}
	sent := g.sent.String()
	current := g.current.String()
	if len(current) <= len(sent) {
		if !strings.HasPrefix(sent, current) {
			g.err = errDiverged
		}
		return
	}
	if !strings.HasPrefix(current, sent) {
		g.err = errDiverged
		return
	}
	fresh := current[len(sent):]
	g.sent.WriteString(fresh)
	g.err = g.sink.Text(fresh)
}

// complete passes on what is missing of the stored answer.
func (g *guardedSink) complete(start Start, content string) error {
	g.start(start)
	g.text(content)
	if g.err == nil && g.sent.String() != content {
		g.err = errDiverged
	}
	return g.err
}
