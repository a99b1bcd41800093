package turnstore

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
)

// Reason is why a member doesn't count towards a quorum. The reason of a refusal is the name
// of the refusal.
type Reason string

// Reasons that aren't refusals.
const (
	// ReasonNone: the member performed the action.
	ReasonNone Reason = ""
	// ReasonNoAnswer: the request failed, or wasn't answered in time.
	ReasonNoAnswer Reason = "no_answer"
	// ReasonNotAsked: no request was sent to the member.
	ReasonNotAsked Reason = "not_asked"
	// ReasonUnusable: the answer can't be used, such as a damaged copy of a turn.
	ReasonUnusable Reason = "unusable"
	// ReasonNoView: the members aren't known.
	ReasonNoView Reason = "no_view"
)

// errUnusable marks errors with ReasonUnusable.
var errUnusable = errors.New("the answer can't be used")

// reasonOf returns the reason for a member's answer.
func reasonOf(reply archive.Reply, err error) Reason {
	switch {
	case errors.Is(err, errUnusable):
		return ReasonUnusable
	case err != nil:
		return ReasonNoAnswer
	case reply.Refusal != register.RefusalNone:
		return Reason(strings.ReplaceAll(reply.Refusal.String(), " ", "_"))
	}
	return ReasonNone
}

// MemberAnswer is the last answer of a member.
type MemberAnswer struct {
	Node   string
	Reason Reason
	// Epoch is the epoch of the request, zero if none was sent.
	Epoch uint64
	// Err is nil if the member performed the action or wasn't asked.
	Err error
}

// String returns the answer for a log line.
func (a MemberAnswer) String() string {
	switch {
	case a.Err != nil:
		return fmt.Sprintf("%s %s: %v", a.Node, a.Reason, a.Err)
	case a.Reason != ReasonNone:
		return fmt.Sprintf("%s %s", a.Node, a.Reason)
	}
	return a.Node + " done"
}

// NoQuorumError is an ErrNoQuorum with the last answer of each member.
type NoQuorumError struct {
	Shard uint32
	// Epoch is the epoch of the last round, zero if the shard's members aren't known.
	Epoch   uint64
	Members []MemberAnswer
	// Rounds were tried within the duration Tried.
	Rounds int
	Tried  time.Duration
	// cause is the error of the last round, or nil.
	cause error
}

// Error names the members with their answers.
func (e *NoQuorumError) Error() string {
	if e.Epoch == 0 {
		return fmt.Sprintf("%v: no member of shard %d is known, tried for %s", ErrNoQuorum, e.Shard, e.Tried.Round(time.Millisecond))
	}
	return fmt.Sprintf("%v, epoch %d of shard %d, tried for %s: member %s",
		ErrNoQuorum, e.Epoch, e.Shard, e.Tried.Round(time.Millisecond), strings.Join(e.MemberTexts(), "; member "))
}

// Unwrap returns ErrNoQuorum and the error of the last round.
func (e *NoQuorumError) Unwrap() []error {
	if e.cause == nil {
		return []error{ErrNoQuorum}
	}
	return []error{ErrNoQuorum, e.cause}
}

// MemberTexts returns the members' answers for log lines.
func (e *NoQuorumError) MemberTexts() []string {
	texts := make([]string, len(e.Members))
	for index, member := range e.Members {
		texts[index] = member.String()
	}
	return texts
}

// Reasons returns the reason of each member that is missing, or ReasonNoView.
func (e *NoQuorumError) Reasons() []Reason {
	if e.Epoch == 0 {
		return []Reason{ReasonNoView}
	}
	var reasons []Reason
	for _, member := range e.Members {
		if member.Reason != ReasonNone {
			reasons = append(reasons, member.Reason)
		}
	}
	return reasons
}

// answerLog keeps the last answer of each member over several rounds at one shard, also of
// members that answer after their round has ended. It is safe for concurrent use.
type answerLog struct {
	shard uint32
	began time.Time

	mutex  sync.Mutex
	rounds int
	view   register.View
	// last has the last answers by incarnation, asked the times of the first requests since then.
	last  map[string]MemberAnswer
	asked map[string]time.Time
}

func newAnswerLog(shard uint32) *answerLog {
	return &answerLog{shard: shard, began: time.Now(), last: make(map[string]MemberAnswer), asked: make(map[string]time.Time)}
}

// beginRound records the view that the next round asks.
func (l *answerLog) beginRound(view register.View) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rounds++
	l.view = view
}

// recordAsked records that a request is sent to a member.
func (l *answerLog) recordAsked(member register.Member) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, found := l.asked[member.Incarnation]; !found {
		l.asked[member.Incarnation] = time.Now()
	}
}

// recordAnswer records the answer of a member. It ignores an error after the time of the
// caller is over, which says nothing of the member.
func (l *answerLog) recordAnswer(answered answer, epoch uint64, isOver bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if isOver && answered.reason == ReasonNoAnswer {
		return
	}
	delete(l.asked, answered.member.Incarnation)
	l.last[answered.member.Incarnation] = MemberAnswer{
		Node: answered.member.Node, Reason: answered.reason, Epoch: epoch, Err: answered.cause,
	}
}

// fail returns the error for rounds of which the last one failed with cause, or nil.
func (l *answerLog) fail(cause error) *NoQuorumError {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	failure := &NoQuorumError{Shard: l.shard, Epoch: l.view.Epoch, Rounds: l.rounds, Tried: time.Since(l.began), cause: cause}
	for _, member := range l.view.Members {
		failure.Members = append(failure.Members, l.answerOf(member))
	}
	return failure
}

// answerOf returns the last answer of the member, unless it has been silent for hedgeDelay
// since. The caller holds the mutex.
func (l *answerLog) answerOf(member register.Member) MemberAnswer {
	last, hasAnswered := l.last[member.Incarnation]
	asked, isPending := l.asked[member.Incarnation]
	switch {
	case isPending && (!hasAnswered || time.Since(asked) >= hedgeDelay):
		silence := merry.Errorf("silent for %s", time.Since(asked).Round(time.Millisecond))
		return MemberAnswer{Node: member.Node, Reason: ReasonNoAnswer, Epoch: l.view.Epoch, Err: silence}
	case !hasAnswered:
		return MemberAnswer{Node: member.Node, Reason: ReasonNotAsked}
	}
	return last
}
