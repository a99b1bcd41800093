package peer

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/quota"
)

// QuotaHolder grants permits from the quotas of tenants. quota.Holder implements it.
type QuotaHolder interface {
	Take(ask quota.PermitRequest) quota.PermitAnswer
}

var _ quota.HolderClient = (*Client)(nil)

// TakePermits implements quota.Holders.
func (c *Client) TakePermits(ctx context.Context, address string, ask quota.PermitRequest) (quota.PermitAnswer, error) {
	answer, err := c.call(ctx, address, &peerv1.Call{Request: &peerv1.Call_TakePermits{TakePermits: &peerv1.TakePermitsRequest{
		Slot: ask.Share.Slot, Tenant: ask.Tenant, Version: ask.Version, Rate: ask.Share.Rate.TokensPerSecond, Burst: ask.Share.Rate.Burst,
		Program: ask.Program, ProgramKind: ask.Kind, Ahead: uint32(max(ask.Prefetch, 0)),
	}}})
	if err != nil {
		return nil, err
	}
	message := answer.GetTakePermits()
	retryAfter := time.Duration(message.GetRetryAfterMs()) * time.Millisecond
	switch message.GetVerdict() {
	case peerv1.PermitVerdict_PERMIT_VERDICT_GRANTED:
		return quota.Granted{Permits: int(message.GetPermits())}, nil
	case peerv1.PermitVerdict_PERMIT_VERDICT_EXHAUSTED:
		return quota.Exhausted{RetryAfter: retryAfter, Remaining: message.GetLeft()}, nil
	case peerv1.PermitVerdict_PERMIT_VERDICT_PROGRAM_REFUSED:
		return quota.Reserved{RetryAfter: retryAfter, Remaining: message.GetLeft()}, nil
	case peerv1.PermitVerdict_PERMIT_VERDICT_NOT_HOLDER:
		return quota.NotHolder{}, nil
	}
	return nil, merry.Errorf("unknown verdict %s on permits for tenant %q", message.GetVerdict(), ask.Tenant)
}

func takePermits(holder QuotaHolder, message *peerv1.TakePermitsRequest) *peerv1.TakePermitsResponse {
	decision := holder.Take(quota.PermitRequest{
		Tenant: message.GetTenant(), Version: message.GetVersion(),
		Share:   quota.Share{Slot: message.GetSlot(), Rate: limit.Rate{TokensPerSecond: message.GetRate(), Burst: message.GetBurst()}},
		Program: message.GetProgram(), Kind: message.GetProgramKind(), Prefetch: int(message.GetAhead()),
	})
	switch grant := decision.(type) {
	case quota.Granted:
		return &peerv1.TakePermitsResponse{Verdict: peerv1.PermitVerdict_PERMIT_VERDICT_GRANTED, Permits: uint32(grant.Permits)}
	case quota.Exhausted:
		return &peerv1.TakePermitsResponse{
			Verdict: peerv1.PermitVerdict_PERMIT_VERDICT_EXHAUSTED, RetryAfterMs: grant.RetryAfter.Milliseconds(), Left: grant.Remaining,
		}
	case quota.Reserved:
		return &peerv1.TakePermitsResponse{
			Verdict: peerv1.PermitVerdict_PERMIT_VERDICT_PROGRAM_REFUSED, RetryAfterMs: grant.RetryAfter.Milliseconds(), Left: grant.Remaining,
		}
	}
	return &peerv1.TakePermitsResponse{Verdict: peerv1.PermitVerdict_PERMIT_VERDICT_NOT_HOLDER}
}
