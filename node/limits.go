package node

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/admission"
	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/coordination/execution"
	"github.com/marblering/marblering/coordination/fleet"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/transport/nodepeer"
)

const (
	// reservationLifetime ends reservations whose node died.
	reservationLifetime = 10 * time.Minute
	// sliceLifetime is how long a granted slice of a rate may be used.
	sliceLifetime = 2 * time.Second
	// limitTimeout bounds the question to an admission point or a pool. Limits
	// are no safety matter: without an answer the call goes on.
	limitTimeout = 200 * time.Millisecond
	// burstSeconds is how many seconds of its rate a tenant may use at once.
	burstSeconds     = 10
	secondsPerMinute = 60
	// tenantPrefix and enginePrefix tell the two kinds of admission apart.
	tenantPrefix = "tenant:"
	enginePrefix = "engine:"
)

// limits is one node's part in the limits that hold over all nodes: it keeps
// the counts of the names it is the admission point or pool of, and asks the
// other nodes about the rest.
type limits struct {
	holder    *configuration.Holder
	admission *admission.Controller
	pool      *admission.Pool
	share     *admission.NodeLimiter
	retries   *limit.RetryBudget
	peers     *nodepeer.Client
	// owner returns the address of the node that looks after the name; local is
	// set where it is this one.
	owner       func(name string) (address string, local bool)
	logger      *zap.Logger
	instruments *instruments
	// release sends what is given back without holding up a call.
	release chan releaseTask
}

type releaseTask struct{ name, request string }

// releaseQueue bounds releases under way; one that doesn't fit lapses.
const releaseQueue = 4096

var (
	_ execution.Limiter = (*limits)(nil)
	_ fleet.Admitter    = (*limits)(nil)
)

func newLimits(holder *configuration.Holder, peers *nodepeer.Client, owner func(string) (string, bool), logger *zap.Logger, instruments *instruments) *limits {
	return &limits{
		holder:      holder,
		admission:   admission.NewController(reservationLifetime),
		pool:        admission.NewPool(sliceLifetime),
		share:       admission.NewNodeLimiter(1),
		retries:     limit.NewRetryBudget(limit.DefaultRetryPolicy(), time.Now()),
		peers:       peers,
		owner:       owner,
		logger:      logger,
		instruments: instruments,
		release:     make(chan releaseTask, releaseQueue),
	}
}

// Serve sends releases until the context ends. It is a suture service.
func (l *limits) Serve(ctx context.Context) error {
	for {
		select {
		case task := <-l.release:
			l.giveBack(ctx, task)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Enter implements execution.Limiter.
func (l *limits) Enter(ctx context.Context, tenant, call string, tokens uint64) (leave func(), pause time.Duration) {
	l.retries.RecordAttempt(tenant, time.Now())
	configured, found := l.holder.Current().Tenant(tenant)
	if !found {
		return func() {}, 0
	}
	if pause := l.useRate(ctx, configured, tokens); pause > 0 {
		l.refused(limitTokenRate)
		return nil, pause
	}
	if configured.Limits.MaxConcurrentCalls == 0 {
		return func() {}, 0
	}
	verdict := l.reserve(ctx, admission.Reservation{Engine: tenantPrefix + tenant, RequestID: call, PromptTokens: tokens})
	if !verdict.Admitted {
		l.refused(limitConcurrentCalls)
		return nil, max(verdict.RetryAfter, time.Second)
	}
	return func() { l.queueRelease(tenantPrefix+tenant, call) }, 0
}

func (l *limits) useRate(ctx context.Context, tenant *configuration.Tenant, tokens uint64) time.Duration {
	if tenant.Limits.TokensPerMinute == 0 {
		return 0
	}
	name := tenantPrefix + tenant.Name
	granter := rateGranter{limits: l, ctx: ctx}
	return l.share.Use(name, rateOf(tenant), float64(tokens), granter, time.Now())
}

func rateOf(tenant *configuration.Tenant) limit.Rate {
	perSecond := float64(tenant.Limits.TokensPerMinute) / secondsPerMinute
	return limit.Rate{TokensPerSecond: perSecond, Burst: perSecond * burstSeconds}
}

// Retry implements execution.Limiter.
func (l *limits) Retry(tenant string) bool {
	if l.retries.TryRetry(tenant, time.Now()) {
		return true
	}
	l.refused(limitRetryBudget)
	return false
}

func (l *limits) refused(limit string) { l.instruments.refusals.WithLabelValues(limit).Inc() }

func (l *limits) unanswered(limit string) { l.instruments.unanswered.WithLabelValues(limit).Inc() }

// Admit implements fleet.Admitter.
func (l *limits) Admit(ctx context.Context, engine, request string, promptTokens, outputTokens uint64, deadline time.Time) (admitted bool, retryAfter time.Duration) {
	verdict := l.reserve(ctx, admission.Reservation{
		Engine: enginePrefix + engine, RequestID: request,
		PromptTokens: promptTokens, OutputTokens: outputTokens, Deadline: deadline,
	})
	if !verdict.Admitted {
		l.refused(limitEngine)
	}
	return verdict.Admitted, verdict.RetryAfter
}

// Release implements fleet.Admitter.
func (l *limits) Release(engine, request string) { l.queueRelease(enginePrefix+engine, request) }

// SetCapacity implements fleet.Admitter.
func (l *limits) SetCapacity(engine string, capacity admission.Capacity) {
	l.admission.SetCapacity(enginePrefix+engine, capacity)
}

// reserve asks the admission point of the name. Where it can't be reached the
// call goes on: the engine's own queue bounds it.
func (l *limits) reserve(ctx context.Context, reservation admission.Reservation) admission.Decision {
	address, local := l.owner(reservation.Engine)
	if local || address == "" {
		return l.reserveHere(reservation)
	}
	ctx, cancel := context.WithTimeout(ctx, limitTimeout)
	defer cancel()
	response, err := l.peers.Reserve(ctx, address, &peerv1.ReserveRequest{
		Engine:         reservation.Engine,
		RequestId:      reservation.RequestID,
		PromptTokens:   reservation.PromptTokens,
		OutputTokens:   reservation.OutputTokens,
		DeadlineUnixMs: unixMS(reservation.Deadline),
	})
	if err != nil {
		l.unanswered(limitOf(reservation.Engine))
		l.logger.Debug("admission point did not answer", zap.String("name", reservation.Engine), zap.Error(err))
		return admission.Decision{Admitted: true}
	}
	return admission.Decision{
		Admitted:          response.GetAdmitted(),
		RetryAfter:        time.Duration(response.GetRetryAfterMs()) * time.Millisecond,
		OutstandingTokens: response.GetOutstandingTokens(),
	}
}

// limitOf names the limit that a name of an admission point stands for.
func limitOf(name string) string {
	if strings.HasPrefix(name, tenantPrefix) {
		return limitConcurrentCalls
	}
	return limitEngine
}

func unixMS(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

// reserveHere is the admission point's side.
func (l *limits) reserveHere(reservation admission.Reservation) admission.Decision {
	l.refreshTenant(reservation.Engine)
	return l.admission.Reserve(reservation, time.Now())
}

// refreshTenant sets the limits in force of a tenant this node keeps.
func (l *limits) refreshTenant(name string) {
	tenantName, isTenant := strings.CutPrefix(name, tenantPrefix)
	if !isTenant {
		return
	}
	tenant, found := l.holder.Current().Tenant(tenantName)
	if !found {
		return
	}
	l.admission.SetCapacity(name, admission.Capacity{MaxRequests: int(tenant.Limits.MaxConcurrentCalls)})
	if tenant.Limits.TokensPerMinute > 0 {
		l.pool.SetRate(name, rateOf(tenant), time.Now())
	}
}

func (l *limits) queueRelease(name, request string) {
	select {
	case l.release <- releaseTask{name: name, request: request}:
	default:
		l.logger.Warn("release queue is full", zap.String("name", name))
	}
}

func (l *limits) giveBack(ctx context.Context, task releaseTask) {
	address, local := l.owner(task.name)
	if local || address == "" {
		l.admission.Release(task.name, task.request)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limitTimeout)
	defer cancel()
	if err := l.peers.Release(ctx, address, &peerv1.ReleaseRequest{Engine: task.name, RequestId: task.request}); err != nil {
		l.logger.Debug("release not delivered", zap.String("name", task.name), zap.Error(err))
	}
}

// rateGranter asks the pool of a name on behalf of one call.
type rateGranter struct {
	limits *limits
	ctx    context.Context
}

// Grant implements admission.Granter.
func (g rateGranter) Grant(name string, needed float64) (admission.Lease, bool) {
	address, local := g.limits.owner(name)
	if local {
		g.limits.refreshTenant(name)
		return g.limits.pool.Grant(name, needed, time.Now()), true
	}
	if address == "" {
		return admission.Lease{}, false
	}
	ctx, cancel := context.WithTimeout(g.ctx, limitTimeout)
	defer cancel()
	response, err := g.limits.peers.Grant(ctx, address, &peerv1.GrantRequest{Name: name, NeededTokens: needed})
	if err != nil {
		g.limits.unanswered(limitTokenRate)
		return admission.Lease{}, false
	}
	return admission.Lease{
		Tokens:     response.GetTokens(),
		Expires:    time.Now().Add(time.Duration(response.GetLifetimeMs()) * time.Millisecond),
		RetryAfter: time.Duration(response.GetRetryAfterMs()) * time.Millisecond,
	}, true
}
