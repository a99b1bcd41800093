package quota

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/sleep"
	"github.com/marblering/marblering/state/result"
)

// HolderClient requests permits from storage nodes. peer.Client implements it.
type HolderClient interface {
	TakePermits(ctx context.Context, address string, ask PermitRequest) (PermitAnswer, error)
}

// Views returns the members of each slot's shard.
type Views interface {
	View(shard uint32) (register.View, bool)
	Shards() uint32
}

const (
	// nodeTimeout is how long a request waits for one storage node before it asks the next
	// one. A later answer counts as long as the request waits.
	nodeTimeout = 150 * time.Millisecond
	// takeTimeout bounds the time in which a request gets its permit: that of three slow
	// storage nodes. Another gateway may succeed after that.
	takeTimeout = 3 * nodeTimeout
	// vacantSlotBackoff is the time for which a slot without a holder isn't asked again.
	// It is short compared to leaseDuration, within which the slot gets its next holder.
	vacantSlotBackoff = 100 * time.Millisecond
	// noHolderRetryInterval is the interval between two attempts of a request while no
	// slot has a holder. A slot that was never held is taken within one round of its
	// register.
	noHolderRetryInterval = 25 * time.Millisecond
	// unavailableRetryAfter is the Retry-After of a request that no storage node could
	// decide.
	unavailableRetryAfter = 300 * time.Millisecond
	// maxPermitWait is how long a request may wait for the next permit instead of being
	// refused, maxPermitWaits how many times it may wait.
	maxPermitWait  = 100 * time.Millisecond
	maxPermitWaits = 2
	// maxSlotsTried bounds the main slots that a request asks. A second one may still have
	// permits where the first has none.
	maxSlotsTried = 2
	// prefetchFraction is the fraction of a permit's lifetime within which prefetched
	// permits are expected to be used.
	prefetchFraction = 0.6
	// maxPrefetch bounds the permits that are prefetched at once.
	maxPrefetch = 16
)

// Client gets permits for a gateway's requests. It is safe for concurrent use.
type Client struct {
	holders HolderClient
	views   Views
	reach   *reach.Tracker
	bounds  Tolerance
	now     func() time.Time
	logger  *zap.Logger
	metrics *Metrics

	mutex  sync.Mutex
	stocks map[string]*stock
	// lastHolder is the address at which each slot's holder was last found, vacantUntil
	// the time until which a slot without a holder isn't asked again.
	lastHolder  map[uint32]string
	vacantUntil map[uint32]time.Time
	// lastDemand is when a request last needed a permit or slots were announced.
	lastDemand time.Time
}

// NewClient returns a client without permits. It reports to the tracker which storage
// nodes answer.
func NewClient(holders HolderClient, views Views, tracker *reach.Tracker, bounds Tolerance, metrics *Metrics, now func() time.Time, logger *zap.Logger) *Client {
	return &Client{
		holders: holders, views: views, reach: tracker, bounds: bounds, now: now, logger: logger, metrics: metrics,
		stocks: make(map[string]*stock), lastHolder: make(map[uint32]string), vacantUntil: make(map[uint32]time.Time),
	}
}

// Request is a tenant's request that needs a permit.
type Request struct {
	Tenant string
	Rate   limit.Rate
	// Version is the configuration version that Rate was read from.
	Version int64
	// Program and Kind are passed on in PermitRequest.
	Program string
	Kind    string
}

// Permit allows one request to run. Return must be called if the request didn't run.
type Permit struct {
	client  *Client
	tenant  string
	expires time.Time
}

// Return makes the permit available to another request of the tenant.
func (p Permit) Return() {
	if p.client == nil || p.tenant == "" {
		return
	}
	p.client.mutex.Lock()
	defer p.client.mutex.Unlock()
	p.client.stock(p.tenant).add(1, p.expires)
}

// Take returns a permit, or a refusal with its Retry-After: result.TenantLimit where the
// quota is used up, result.QuotaUnavailable where no storage node could decide. A tenant
// without a rate needs no permit. Take returns within takeTimeout.
func (c *Client) Take(ctx context.Context, request Request) (Permit, *result.Error) {
	if request.Rate.TokensPerSecond <= 0 {
		return Permit{}, nil
	}
	began := c.now()
	ahead, permit, found := c.takeFromStock(request.Tenant, began)
	if found {
		c.metrics.observe(sourceStock, c.now().Sub(began))
		return permit, nil
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	ask := PermitRequest{Tenant: request.Tenant, Version: request.Version, Program: request.Program, Kind: request.Kind, Prefetch: ahead}
	permit, failure := c.requestPermit(ctx, ask, c.bounds.Plan(request.Tenant, request.Rate, c.views.Shards()))
	c.metrics.observeAsked(failure, c.now().Sub(began))
	return permit, failure
}

// requestPermit asks the plan's slots until one of them decides: first the main slots,
// then the reserve slot if a main slot has no holder. It waits for the next permit if that
// is due within maxPermitWait, for the answers of main slots that are late, and retries until
// the context ends while no slot has a holder.
func (c *Client) requestPermit(ctx context.Context, ask PermitRequest, plan Plan) (Permit, *result.Error) {
	inquiry := newInquiry(ask)
	for waits := 0; ; {
		answer, permit := c.askMainSlots(ctx, inquiry, plan)
		isVacant := answer == nil
		if isVacant && plan.HasReserve {
			answer, permit = c.askSlot(ctx, inquiry, plan.Reserve)
		}
		if _, isGranted := answer.(Granted); isGranted {
			return permit, nil
		}
		if waits < maxPermitWaits && waitForPermit(ctx, answer) {
			waits++
			continue
		}
		if answer != nil && !isVacant {
			return Permit{}, refusalError(ask.Tenant, answer)
		}
		pause := noHolderRetryInterval
		if answer != nil {
			if !inquiry.isPending(plan.Main) {
				return Permit{}, vacantError(ask.Tenant, answer)
			}
			pause = takeTimeout
		}
		late := inquiry.awaitLate(ctx, pause)
		if late.answer != nil {
			return c.decide(late, ask.Tenant, plan)
		}
		if ctx.Err() != nil {
			return Permit{}, vacantError(ask.Tenant, answer)
		}
	}
}

// decide returns what a late answer means for the request. A refusal by the reserve slot, or
// by one of several main slots, doesn't show that the tenant has used its quota.
func (c *Client) decide(late lateAnswer, tenant string, plan Plan) (Permit, *result.Error) {
	if _, isGranted := late.answer.(Granted); isGranted {
		if c.now().Before(late.permit.expires) {
			return late.permit, nil
		}
		return Permit{}, refusalError(tenant, nil)
	}
	if len(plan.Main) == 1 && late.question.part.Slot == plan.Main[0].Slot {
		return Permit{}, refusalError(tenant, late.answer)
	}
	return Permit{}, vacantError(tenant, late.answer)
}

// waitForPermit waits until the next permit is due if that is soon, and reports whether it
// has waited.
func waitForPermit(ctx context.Context, answer PermitAnswer) bool {
	exhausted, isExhausted := answer.(Exhausted)
	return isExhausted && exhausted.RetryAfter <= maxPermitWait && sleep.For(ctx, sleep.Jitter(exhausted.RetryAfter)) == nil
}

// vacantError returns the error for a caller whose request got no permit of the reserve slot
// while a main slot has no holder. That the reserve slot has none, which is taken without
// any, doesn't show that the tenant has used its quota.
func vacantError(tenant string, answer PermitAnswer) *result.Error {
	refusal := refusalError(tenant, nil)
	switch grant := answer.(type) {
	case Exhausted:
		return refusal.WithRetryAfter(grant.RetryAfter)
	case Reserved:
		return refusal.WithRetryAfter(grant.RetryAfter)
	}
	return refusal
}

// refusalError returns the error for a caller whose request got no permit. The answer is
// nil if no holder decided.
func refusalError(tenant string, answer PermitAnswer) *result.Error {
	switch grant := answer.(type) {
	case Exhausted:
		return result.Errorf(result.TenantLimit, "tenant %s is over its quota, %.1f permits are left", tenant, grant.Remaining).WithRetryAfter(grant.RetryAfter)
	case Reserved:
		return result.Errorf(result.TenantLimit,
			"tenant %s is near its quota: the remaining %.1f permits are reserved for running programs", tenant, grant.Remaining).WithRetryAfter(grant.RetryAfter)
	}
	return result.Errorf(result.QuotaUnavailable, "no storage node grants requests of tenant %s", tenant).WithRetryAfter(unavailableRetryAfter)
}

// askMainSlots asks main slots until one grants a permit. It returns nil if one of them has
// no holder, so that the caller asks the reserve slot.
func (c *Client) askMainSlots(ctx context.Context, inquiry *inquiry, plan Plan) (PermitAnswer, Permit) {
	var refusal PermitAnswer
	isVacant := len(plan.Main) == 0
	for index, part := range plan.Order(inquiry.ask.Program) {
		if index >= maxSlotsTried {
			break
		}
		answer, permit := c.askSlot(ctx, inquiry, part)
		switch answer.(type) {
		case Granted, Reserved:
			return answer, permit
		case Exhausted:
			refusal = answer
		default:
			isVacant = true
		}
	}
	if isVacant {
		return nil, Permit{}
	}
	return refusal, Permit{}
}

// askSlot asks the members of the slot's shard for a permit, the last known holder first.
// It returns nil if no member holds the slot, or if its holder is late.
func (c *Client) askSlot(ctx context.Context, inquiry *inquiry, part Share) (PermitAnswer, Permit) {
	view, known := c.views.View(part.Slot)
	if !known || c.isVacant(part.Slot) {
		return nil, Permit{}
	}
	for _, address := range c.orderMembers(view) {
		if ctx.Err() != nil {
			return nil, Permit{}
		}
		answer, permit := c.askNode(ctx, inquiry, question{address: address, part: part})
		if isDecision(answer) {
			return answer, permit
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.lastHolder, part.Slot)
	c.vacantUntil[part.Slot] = c.now().Add(vacantSlotBackoff)
	return nil, Permit{}
}

// recordAnswer records the slot's holder, puts prefetched permits in stock and returns the
// request's own permit.
func (c *Client) recordAnswer(asked question, ask PermitRequest, answer PermitAnswer, sent time.Time) Permit {
	if !isDecision(answer) {
		return Permit{}
	}
	c.mutex.Lock()
	c.lastHolder[asked.part.Slot] = asked.address
	delete(c.vacantUntil, asked.part.Slot)
	c.mutex.Unlock()
	return c.storePrefetched(ask, answer, sent)
}

// storePrefetched puts the prefetched permits in stock and returns the request's own permit. The
// lifetime counts from when the permits were asked for, since the holder may have granted
// them at any time after that.
func (c *Client) storePrefetched(ask PermitRequest, answer PermitAnswer, sent time.Time) Permit {
	granted, isGranted := answer.(Granted)
	if !isGranted {
		return Permit{}
	}
	expires := sent.Add(c.bounds.PermitLifetime())
	if granted.Permits > 1 {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.stock(ask.Tenant).add(granted.Permits-1, expires)
	}
	return Permit{client: c, tenant: ask.Tenant, expires: expires}
}

// takePermits asks one storage node. It returns nil if the request failed.
func (c *Client) takePermits(ctx context.Context, address string, ask PermitRequest) PermitAnswer {
	answer, err := c.holders.TakePermits(ctx, address, ask)
	if err == nil {
		c.reach.RecordResponse(address)
		return answer
	}
	if !errors.Is(context.Cause(ctx), context.Canceled) {
		c.recordFailure(address, ask, err)
	}
	return nil
}

// recordFailure records that a storage node failed or didn't answer in time.
func (c *Client) recordFailure(address string, ask PermitRequest, err error) {
	c.reach.RecordFailure(address)
	c.logger.Info("quota holder did not answer", zap.String("address", address), zap.Uint32("slot", ask.Share.Slot),
		zap.String("tenant", ask.Tenant), zap.Error(err))
}

// isVacant reports whether the slot was found without a holder within vacantSlotBackoff.
func (c *Client) isVacant(slot uint32) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now().Before(c.vacantUntil[slot])
}

// orderMembers returns the addresses of the view's members, with the last known holder
// first and those that failed recently last. The rest are in the same order at all
// gateways, so that they all ask the same member of a slot without a holder, which then
// takes it.
func (c *Client) orderMembers(view register.View) []string {
	c.mutex.Lock()
	last := c.lastHolder[view.Shard]
	c.mutex.Unlock()
	addresses := make([]string, 0, len(view.Members))
	for _, member := range view.Members {
		addresses = append(addresses, member.Address)
	}
	slices.SortStableFunc(addresses, func(a, b string) int {
		return cmp.Or(compareTrueFirst(a == last, b == last), c.reach.Compare(a, b))
	})
	return addresses
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// takeFromStock takes a permit out of the tenant's stock. If there is none, it returns how
// many permits to prefetch.
func (c *Client) takeFromStock(tenant string, now time.Time) (ahead int, permit Permit, found bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastDemand = now
	tenantStock := c.stock(tenant)
	tenantStock.recordDemand(now)
	if expires, left := tenantStock.take(now); left {
		return 0, Permit{client: c, tenant: tenant, expires: expires}, true
	}
	wanted := tenantStock.demand * prefetchFraction * c.bounds.PermitLifetime().Seconds()
	return int(min(wanted, maxPrefetch)), Permit{}, false
}

// stock returns the tenant's stock, created on first use. The mutex must be held.
func (c *Client) stock(tenant string) *stock {
	tenantStock := c.stocks[tenant]
	if tenantStock == nil {
		tenantStock = &stock{}
		c.stocks[tenant] = tenantStock
	}
	return tenantStock
}
