package quota

import (
	"context"
	"time"
)

// question is what a request asks one storage node: permits of one slot.
type question struct {
	address string
	part    Share
}

// lateAnswer is an answer that came after nodeTimeout.
type lateAnswer struct {
	question question
	answer   PermitAnswer
	permit   Permit
}

// inquiry holds the questions of one request for a permit that weren't answered within
// nodeTimeout. Their answers count until the request ends. It is used by one goroutine.
type inquiry struct {
	ask     PermitRequest
	pending map[question]bool
	// late receives an answer, or nil, for each pending question.
	late chan lateAnswer
}

func newInquiry(ask PermitRequest) *inquiry {
	return &inquiry{ask: ask, pending: make(map[question]bool), late: make(chan lateAnswer)}
}

// askNode asks a storage node. It returns nil if the request failed or takes longer than
// nodeTimeout; in the latter case its answer arrives at inquiry.late. A question that is
// pending isn't asked again, since each one may use up a permit.
func (c *Client) askNode(ctx context.Context, inquiry *inquiry, asked question) (PermitAnswer, Permit) {
	if inquiry.pending[asked] {
		return nil, Permit{}
	}
	ask := inquiry.ask
	ask.Share = asked.part
	answered := make(chan lateAnswer, 1)
	go func() {
		sent := c.now()
		answer := c.takePermits(ctx, asked.address, ask)
		answered <- lateAnswer{question: asked, answer: answer, permit: c.recordAnswer(asked, ask, answer, sent)}
	}()
	timeout := time.NewTimer(nodeTimeout)
	defer timeout.Stop()
	select {
	case received := <-answered:
		return received.answer, received.permit
	case <-ctx.Done():
		return nil, Permit{}
	case <-timeout.C:
	}
	c.recordFailure(asked.address, ask, context.DeadlineExceeded)
	inquiry.pending[asked] = true
	go func() {
		received := <-answered
		select {
		case inquiry.late <- received:
		case <-ctx.Done():
			received.permit.Return()
		}
	}()
	return nil, Permit{}
}

// awaitLate waits for the late answer of a slot's holder, no longer than the timeout or the
// context. It returns no answer if there is none.
func (i *inquiry) awaitLate(ctx context.Context, timeout time.Duration) lateAnswer {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case received := <-i.late:
			delete(i.pending, received.question)
			if isDecision(received.answer) {
				return received
			}
		case <-timer.C:
			return lateAnswer{}
		case <-ctx.Done():
			return lateAnswer{}
		}
	}
}

// isDecision reports whether the answer is that of a slot's holder.
func isDecision(answer PermitAnswer) bool {
	_, isNotHolder := answer.(NotHolder)
	return answer != nil && !isNotHolder
}

// isPending reports whether a question about one of the slots is pending.
func (i *inquiry) isPending(parts []Share) bool {
	for asked := range i.pending {
		for _, part := range parts {
			if asked.part.Slot == part.Slot {
				return true
			}
		}
	}
	return false
}
