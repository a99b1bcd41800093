package relay

import (
	"fmt"
	"strconv"
	"time"

	"github.com/marblering/marblering/state/result"
)

const (
	// retryPause is what a client is asked to wait where another try may find a back end,
	// room, or a gateway with newer data. Chosen, not measured.
	retryPause = 150 * time.Millisecond
	// startPause is what it is asked to wait for a gateway that is starting or that waits
	// for the store, since the few tries of a client then outlast a second of that. With
	// the store away for 4.4 s, 0.905 of a day's worth was earned in place of 0.877
	// (docs/design/tenants.md; with shorter pauses between calls to the store at once).
	startPause = 400 * time.Millisecond
)

// obstacle is why a request that hasn't run is refused though it may be served later.
type obstacle int

const (
	// overload: as many requests are under way as this gateway has room for.
	overload obstacle = iota
	// noConfiguration: this gateway has just started.
	noConfiguration
	// oldConfiguration: the configuration lacks the route or the key, and may be out of
	// date.
	oldConfiguration
	// unprovedConfiguration: a key may have been revoked since the configuration was last
	// known to be the newest.
	unprovedConfiguration
	// slowBody: the client didn't send the whole body in time.
	slowBody
	// resumedTurn: the client asks for the rest of a turn that has to be stored whole.
	resumedTurn
	// busyBackEnd: the back ends that were asked refused.
	busyBackEnd
	// noBackEnd: no back end could be asked.
	noBackEnd
)

// refusal says with which code the client is refused and how long it is asked to wait
// before it comes back, which fail spreads.
//
// What only the store can end, a missing or unproved configuration, takes longer to pass
// than what another gateway or back end can do at once.
func (o obstacle) refusal(format string, args ...any) *result.Error {
	code, pause := o.answer()
	return result.Errorf(code, "%s", fmt.Sprintf(format, args...)).After(pause)
}

func (o obstacle) answer() (code result.Code, pause time.Duration) {
	switch o {
	case overload:
		return result.Overloaded, retryPause
	case noConfiguration:
		return result.NotReady, startPause
	case oldConfiguration:
		return result.NotReady, retryPause
	case unprovedConfiguration:
		return result.ConfigurationStale, startPause
	case slowBody:
		return result.BodyTimeout, retryPause
	case resumedTurn:
		return result.HistoryUnavailable, retryPause
	case busyBackEnd:
		return result.BackendBusy, retryPause
	}
	return result.NoBackend, retryPause
}

// retryAfter is the value of Retry-After, in seconds with three decimals. The pause is
// spread from half of it to one and a half, so that clients that were refused together
// don't return together. The draw is a random part of the pause.
func retryAfter(pause, draw time.Duration) string {
	spread := pause/2 + draw
	return strconv.FormatFloat(spread.Seconds(), 'f', 3, 64)
}
