package relay

import (
	"fmt"

	"github.com/marblering/marblering/coordination/numbering"
)

// gapPlace tells where the numbers of a stream skip some.
type gapPlace string

const (
	// gapAtJoin is between the client's last event and the first one of a continuation.
	gapAtJoin gapPlace = "join"
	// gapInRun is between two events of one run.
	gapInRun gapPlace = "run"
)

// eventGap is a place in a client's stream where the numbers of its events rise by more than one.
type eventGap struct {
	place       gapPlace
	after, next numbering.Number
}

// String returns the gap as it stands in log lines.
func (g eventGap) String() string {
	return fmt.Sprintf("%s:%s-%s", g.place, shortID(string(g.after)), shortID(string(g.next)))
}

// gapBefore returns the gap between the last event and the next one, if there is one.
func (o *eventOrder) gapBefore(next event) (gap eventGap, found bool) {
	if step, known := next.number.Since(o.highest); next.number == "" || o.highest == "" || known && step == 1 {
		return eventGap{}, false
	}
	place := gapInRun
	if o.isJoin {
		place = gapAtJoin
	}
	return eventGap{place, o.highest, next.number}, true
}
