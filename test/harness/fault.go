package harness

import (
	"net/http"
	"strings"
	"time"
)

// Mode is a kind of fault.
type Mode int

// Modes of a proxy.
const (
	// Pass forwards everything.
	Pass Mode = iota
	// Cut resets the connections at hand, and new ones as soon as they are made.
	// With a Match it resets those whose request matches.
	Cut
	// Delay holds requests and pieces of answers back; their order is kept.
	Delay
	// HalfOpen accepts connections and swallows what they carry, without an end
	// to the connection. A connection that has lost bytes stays silent after
	// the fault is lifted, as one through a broken path would.
	HalfOpen
	// DropAnswer forwards the request and resets the connection when the answer
	// comes, so that the effect took place and nobody hears of it.
	DropAnswer
	// Duplicate forwards the request and sends the same bytes to the server a
	// second time on another connection, whose answer it discards.
	Duplicate
)

// Direction is the way in which Delay and HalfOpen work.
type Direction int

// Directions of a fault.
const (
	Both Direction = iota
	ToServer
	ToClient
)

// Fault says what a proxy does to which requests. The zero Fault is none.
type Fault struct {
	Mode Mode
	// Match chooses the requests that are hit, by all but their body; nil
	// chooses everything.
	Match func(*http.Request) bool
	// Times limits the requests that are hit; zero is no limit.
	Times int
	// Delay is the time by which Mode Delay holds back.
	Delay time.Duration
	// Direction limits Delay and HalfOpen to one way.
	Direction Direction
	// AnswerBytes is what DropAnswer lets through before the reset.
	AnswerBytes int
}

// PathContains matches requests by a part of their path.
func PathContains(part string) func(*http.Request) bool {
	return func(request *http.Request) bool { return strings.Contains(request.URL.Path, part) }
}

// matches tells whether the fault is meant for the request, which is nil before
// the first one of a connection.
func (f Fault) matches(request *http.Request) bool {
	return f.Mode != Pass && (f.Match == nil || request != nil && f.Match(request))
}

func (f Fault) works(direction Direction) bool {
	return f.Direction == Both || f.Direction == direction
}
