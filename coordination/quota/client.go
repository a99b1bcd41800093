package quota

import (
	"cmp"
	"context"
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

// Holders asks storage nodes for permits. peer.Client is one.
type Holders interface {
	TakePermits(ctx context.Context, address string, ask Ask) (Grant, error)
}

// Views gives the members of each slot's shard.
type Views interface {
	View(shard uint32) (register.View, bool)
	Shards() uint32
}

const (
	// nodeTimeout bounds one request to one storage node: a few times what one takes
	// that isn't overloaded. Chosen, not measured.
	nodeTimeout = 150 * time.Millisecond
	// takeTimeout bounds the time in which a request gets its permit: that of three
	// storage nodes that are late. Another gateway may do better after it.
	takeTimeout = 3 * nodeTimeout
	// vacantSlotBackoff is how long a slot that had no holder isn't asked again. It is short
	// beside leaseTime, within which the slot has its next holder. Chosen, not
	// measured.
	vacantSlotBackoff = 100 * time.Millisecond
	// noHolderRetryInterval is the pause between two tries of a request where no slot had a
	// holder: a slot that nobody has held yet is taken within one round of its
	// register. Chosen, not measured.
	noHolderRetryInterval = 25 * time.Millisecond
	// unavailableRetryAfter is the Retry-After of a request that no storage node could
	// decide. Chosen, not measured.
	unavailableRetryAfter = 300 * time.Millisecond
	// maxPermitWait is how long a request may wait for the next permit rather than be
	// refused, maxWaits how often it may. Chosen, not measured.
	maxPermitWait  = 100 * time.Millisecond
	maxPermitWaits = 2
	// maxSlotsTried bounds the main slots that a request asks: another slot of the tenant
	// may have permits left. Chosen, not measured.
	maxSlotsTried = 2
	// prefetchFraction is the part of a permit's life within which permits granted ahead are
	// expected to be used. Chosen, not measured.
	prefetchFraction = 0.6
	// maxPrefetch bounds the permits that are asked for ahead. Chosen, not measured.
	maxPrefetch = 16
)

// Client is a gateway's side: it gets permits for requests. It is safe for concurrent
// use.
type Client struct {
	holders Holders
	views   Views
	reach   *reach.Tracker
	bounds  Bounds
	now     func() time.Time
	logger  *zap.Logger
	metrics *Metrics

	mutex  sync.Mutex
	stocks map[string]*stock
	// lastHolder is the address at which each slot's holder was found last, vacantUntil
	// the end of the time for which a slot without a holder isn't asked.
	lastHolder  map[uint32]string
	vacantUntil map[uint32]time.Time
	// lastDemand is when a request last wanted a permit, or slots were announced.
	lastDemand time.Time
}

// NewClient makes a client without permits. The client tells the tracker which storage
// nodes answer.
func NewClient(holders Holders, views Views, tracker *reach.Tracker, bounds Bounds, metrics *Metrics, now func() time.Time, logger *zap.Logger) *Client {
	return &Client{
		holders: holders, views: views, reach: tracker, bounds: bounds, now: now, logger: logger, metrics: metrics,
		stocks: make(map[string]*stock), lastHolder: make(map[uint32]string), vacantUntil: make(map[uint32]time.Time),
	}
}

// Request is one request of a tenant that wants to run.
type Request struct {
	Tenant string
	Rate   limit.Rate
	// Version of the configuration that the rate is of.
	Version int64
	// Program and Kind are those of Ask.
	Program string
	Kind    string
}

// Permit lets one request run. Return must be called if the request did not run.
type Permit struct {
	client  *Client
	tenant  string
	expires time.Time
}

// Return lets another request of the tenant use the permit.
func (p Permit) Return() {
	if p.client == nil || p.tenant == "" {
		return
	}
	p.client.mutex.Lock()
	defer p.client.mutex.Unlock()
	p.client.stock(p.tenant).add(1, p.expires)
}

// Take returns a permit, or the refusal with its Retry-After: result.TenantLimit where
// the quota is used up, result.QuotaUnavailable where no storage node could decide. A
// tenant without a rate needs no permit. It takes takeTimeout at the longest.
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
	ask := Ask{Tenant: request.Tenant, Version: request.Version, Program: request.Program, Kind: request.Kind, Ahead: ahead}
	permit, failure := c.requestPermit(ctx, ask, c.bounds.Plan(request.Tenant, request.Rate, c.views.Shards()))
	c.metrics.observeAsked(failure, c.now().Sub(began))
	return permit, failure
}

// requestPermit asks the plan's slots until one decides: the main slots, then the reserve slot
// where a main slot has no holder. A request waits for the next permit where it comes
// within longestWait; where no slot has a holder it asks again until the context ends.
func (c *Client) requestPermit(ctx context.Context, ask Ask, plan Plan) (Permit, *result.Error) {
	for waits := 0; ; {
		answer, permit := c.askMainSlots(ctx, ask, plan)
		if answer == nil && plan.HasReserve {
			answer, permit = c.askSlot(ctx, ask, plan.Reserve)
		}
		if _, isGranted := answer.(Granted); isGranted {
			return permit, nil
		}
		if waits < maxPermitWaits && waitForPermit(ctx, answer) {
			waits++
			continue
		}
		if answer != nil {
			return Permit{}, refusalError(ask.Tenant, answer)
		}
		if sleep.For(ctx, noHolderRetryInterval) != nil {
			return Permit{}, refusalError(ask.Tenant, nil)
		}
	}
}

// waitForPermit waits until the next permit is due if that is soon, and tells whether it
// has waited.
func waitForPermit(ctx context.Context, answer Grant) bool {
	exhausted, isExhausted := answer.(Exhausted)
	return isExhausted && exhausted.RetryAfter <= maxPermitWait && sleep.For(ctx, sleep.Jitter(exhausted.RetryAfter)) == nil
}

// refusalError returns what a caller is told after a holder's answer that grants nothing, or
// after none, where the answer is nil.
func refusalError(tenant string, answer Grant) *result.Error {
	switch grant := answer.(type) {
	case Exhausted:
		return result.Errorf(result.TenantLimit, "tenant %s is over its quota, %.1f permits are left", tenant, grant.Left).After(grant.RetryAfter)
	case Crowded:
		return result.Errorf(result.TenantLimit,
			"tenant %s is near its quota: the %.1f permits that are left are for programs that have begun", tenant, grant.Left).After(grant.RetryAfter)
	}
	return result.Errorf(result.QuotaUnavailable, "nobody grants requests of tenant %s", tenant).After(unavailableRetryAfter)
}

// askMainSlots asks main slots until one grants a permit. It returns nil where one of them
// has no holder, so that the reserve slot stands in for it.
func (c *Client) askMainSlots(ctx context.Context, ask Ask, plan Plan) (Grant, Permit) {
	var refusal Grant
	isVacant := len(plan.Main) == 0
	for index, part := range plan.Order(ask.Program) {
		if index >= maxSlotsTried {
			break
		}
		answer, permit := c.askSlot(ctx, ask, part)
		switch answer.(type) {
		case Granted, Crowded:
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

// askSlot asks the members of the slot's shard for its holder, first the member that
// held it last. It returns nil where no member holds the slot.
func (c *Client) askSlot(ctx context.Context, ask Ask, part Part) (Grant, Permit) {
	view, known := c.views.View(part.Slot)
	if !known || c.isVacant(part.Slot) {
		return nil, Permit{}
	}
	ask.Part = part
	for _, address := range c.orderMembers(view) {
		if ctx.Err() != nil {
			return nil, Permit{}
		}
		sent := c.now()
		answer := c.askNode(ctx, address, ask)
		if _, isNotHolder := answer.(NotHolder); isNotHolder || answer == nil {
			continue
		}
		c.mutex.Lock()
		c.lastHolder[part.Slot] = address
		c.mutex.Unlock()
		return answer, c.storeExtra(ask, answer, sent)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.lastHolder, part.Slot)
	c.vacantUntil[part.Slot] = c.now().Add(vacantSlotBackoff)
	return nil, Permit{}
}

// storeExtra puts the permits granted beyond the request's own one in stock. A permit's life
// counts from when it was asked for: the holder may have granted it any time after.
func (c *Client) storeExtra(ask Ask, answer Grant, sent time.Time) Permit {
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

// askNode asks one storage node; nil means that it failed.
func (c *Client) askNode(ctx context.Context, address string, ask Ask) Grant {
	bounded, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	answer, err := c.holders.TakePermits(bounded, address, ask)
	if err == nil {
		c.reach.Heard(address)
		return answer
	}
	if ctx.Err() == nil {
		c.reach.Failed(address)
	}
	c.logger.Info("quota holder did not answer", zap.String("address", address), zap.Uint32("slot", ask.Part.Slot),
		zap.String("tenant", ask.Tenant), zap.Error(err))
	return nil
}

// isVacant tells that the slot had no holder a moment ago.
func (c *Client) isVacant(slot uint32) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now().Before(c.vacantUntil[slot])
}

// orderMembers puts the last known holder first, and members that failed lately last. The
// rest have the same orderMembers at all gateways, so that for a slot without a holder they
// all ask the same member, which then takes it.
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

// compareTrueFirst orders set flags first.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// takeFromStock takes a permit out of stock. Where there is none it returns how many to ask
// for ahead.
func (c *Client) takeFromStock(tenant string, now time.Time) (ahead int, permit Permit, found bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastDemand = now
	own := c.stock(tenant)
	own.recordDemand(now)
	if expires, left := own.take(now); left {
		return 0, Permit{client: c, tenant: tenant, expires: expires}, true
	}
	wanted := own.demand * prefetchFraction * c.bounds.PermitLifetime().Seconds()
	return int(min(wanted, maxPrefetch)), Permit{}, false
}

// stock returns the tenant's stock, a new one at first. The mutex must be held.
func (c *Client) stock(tenant string) *stock {
	own := c.stocks[tenant]
	if own == nil {
		own = &stock{}
		c.stocks[tenant] = own
	}
	return own
}
