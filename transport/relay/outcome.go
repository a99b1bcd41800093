package relay

import (
	"errors"

	"github.com/marblering/marblering/transport/upstream"
)

// outcome is how an attempt ended.
type outcome int

const (
	// delivered: the whole response was passed on to the client.
	delivered outcome = iota
	// unsent: the request wasn't sent to the backend.
	unsent
	// refused: the backend promised that it didn't run the request.
	refused
	// incomplete: the request was sent, but no complete, valid response came back.
	incomplete
	// turnNotStored: the response was complete, but its turn couldn't be stored.
	turnNotStored
	// unconfirmed: the stream ended, but only another instance can tell whether it was whole.
	unconfirmed
	// abandoned: the client is gone or the deadline has passed.
	abandoned
)

var (
	errRefused         = errors.New("the back end refused the request")
	errMisdirected     = errors.New("another instance has the address")
	errInvalidResponse = errors.New("the answer isn't one of a back end")
	errNotResumed      = errors.New("the stream wasn't resumed")
	// errSecondResponse means that an answer whose end only its connection marks is followed by another.
	errSecondResponse = errors.New("another answer follows the stream")
	// errNoEventID means that nothing tells another instance where to continue a stream.
	errNoEventID = errors.New("no event that was passed on has an id")
	// errStopped is the cause of contexts that the end of the process cancels.
	errStopped = errors.New("the gateway is stopping")
	// errEndUnmarked means that only the end of its connection marks the end of a stream.
	errEndUnmarked    = errors.New("nothing but the end of its connection marks the end of the stream")
	errNoEvents       = errors.New("the stream ended with its connection before its first event")
	errTruncatedEvent = errors.New("the stream ended within an event")
	// errJoinedEvents means that an event has a second id: its end is missing, and the next one follows.
	errJoinedEvents = errors.New("an event of the stream has two ids")
)

// outcomeOfError returns unsent if the failed exchange hadn't sent the request, else
// incomplete.
func outcomeOfError(err error) outcome {
	var failure *upstream.Error
	if errors.As(err, &failure) && !failure.Sent {
		return unsent
	}
	return incomplete
}
