package node

import (
	"time"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/admission"
)

// Reserve implements nodepeer.Node.
func (p *peerNode) Reserve(request *peerv1.ReserveRequest) *peerv1.ReserveResponse {
	reservation := admission.Reservation{
		Engine:       request.GetEngine(),
		RequestID:    request.GetRequestId(),
		PromptTokens: request.GetPromptTokens(),
		OutputTokens: request.GetOutputTokens(),
	}
	if request.GetDeadlineUnixMs() != 0 {
		reservation.Deadline = time.UnixMilli(request.GetDeadlineUnixMs())
	}
	verdict := p.limits.reserveHere(reservation)
	return &peerv1.ReserveResponse{
		Admitted:          verdict.Admitted,
		RetryAfterMs:      verdict.RetryAfter.Milliseconds(),
		OutstandingTokens: verdict.OutstandingTokens,
	}
}

// Release implements nodepeer.Node.
func (p *peerNode) Release(request *peerv1.ReleaseRequest) *peerv1.ReleaseResponse {
	p.limits.admission.Release(request.GetEngine(), request.GetRequestId())
	return &peerv1.ReleaseResponse{}
}

// Grant implements nodepeer.Node.
func (p *peerNode) Grant(request *peerv1.GrantRequest) *peerv1.GrantResponse {
	p.limits.refreshTenant(request.GetName())
	slice := p.limits.pool.Grant(request.GetName(), request.GetNeededTokens(), time.Now())
	return &peerv1.GrantResponse{
		Tokens:       slice.Tokens,
		LifetimeMs:   time.Until(slice.Expires).Milliseconds(),
		RetryAfterMs: slice.RetryAfter.Milliseconds(),
	}
}
