package tokenbudget

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/budget"
)

// Register changes a value by compare-and-swap and returns the new one. register.Client
// implements it.
type Register interface {
	Apply(ctx context.Context, shard uint32, key string, change register.Change) ([]byte, error)
}

// LedgerSettings are the bounds of a Ledger.
type LedgerSettings struct {
	// IdleTimeout is how long a program may be without turns before its account is closed and
	// its reserve released.
	IdleTimeout time.Duration
	// ReleaseTimeout bounds one attempt to release a reserve. ReleasePause follows the first
	// failed attempt and doubles with each. MaxReleaseAttempts is the number of attempts. A
	// reserve that can't be released stays charged to its program.
	ReleaseTimeout     time.Duration
	ReleasePause       time.Duration
	MaxReleaseAttempts int
	// AllChanges bounds all changes of records in progress, LowPriorityChanges those of low
	// priority.
	AllChanges         limit.AdaptivePolicy
	LowPriorityChanges limit.AdaptivePolicy
	// IsMember reports whether the node is a member of the program's replica set. Nil if
	// that isn't known; reserves of removed nodes are then never counted as spent.
	IsMember func(program, node string) bool
}

// DefaultSettings releases a reserve about a second after the program's last turn.
func DefaultSettings() LedgerSettings {
	return LedgerSettings{
		IdleTimeout: 700 * time.Millisecond, ReleaseTimeout: 2 * time.Second,
		ReleasePause: 300 * time.Millisecond, MaxReleaseAttempts: 10,
		AllChanges: limit.DefaultAdaptivePolicy(), LowPriorityChanges: limit.DefaultAdaptivePolicy(),
	}
}

const (
	// maxReleasePauseFactor is the longest pause between two attempts to release a reserve, as
	// a multiple of LedgerSettings.ReleasePause.
	maxReleasePauseFactor = 16
	// maxConcurrentReleases bounds the releases in progress in one shard, as many accounts
	// become idle while its records can't be reached.
	maxConcurrentReleases = 16
)

// Ledger admits turns against the budgets of their programs and counts what they generate.
// It is safe for concurrent use.
type Ledger struct {
	holder    string
	registers Register
	locate    func(program string) uint32
	settings  LedgerSettings
	logger    *zap.Logger

	admission *admission
	former    *formerMembers
	now       func() time.Time

	mutex sync.Mutex
	// releaseSlots has, by shard, a place for each release in progress.
	releaseSlots   map[uint32]chan struct{}
	accounts       map[string]*account
	accountsOpened uint64
	// flushing is set once new turns are refused and accounts are released without waiting
	// for IdleTimeout.
	flushing bool
	// unreleased counts the accounts whose reserve isn't released yet.
	unreleased int
}

// NewLedger returns a ledger. Records keep its reserves under the holder's name, "node/incarnation",
// which must be unique over all hosts and their restarts. A node must not run twice at the
// same time.
func NewLedger(holder string, registers Register, locate func(program string) uint32, settings LedgerSettings, now func() time.Time, logger *zap.Logger) *Ledger {
	isMember := settings.IsMember
	if isMember == nil {
		isMember = func(string, string) bool { return true }
	}
	return &Ledger{
		former: &formerMembers{isMember: isMember, grace: settings.IdleTimeout, now: now, missing: make(map[string]time.Time)},
		holder: holder, registers: registers, locate: locate, settings: settings, logger: logger,
		accounts: make(map[string]*account), releaseSlots: make(map[uint32]chan struct{}),
		admission: newAdmission(settings.AllChanges, settings.LowPriorityChanges, now), now: now,
	}
}

// account is the reserve of one program at this host. The ledger's mutex guards it. A turn
// holds reserveLock while it takes tokens from the reserve or reserves more.
type account struct {
	holder      string
	reserveLock chan struct{}
	// The amounts are in tokens: spent is what ended turns have generated, running the most
	// that turns in progress may generate, and reserved what the record grants this host.
	spent    uint64
	running  uint64
	reserved uint64
	// users counts the turns that are in progress or waiting to begin.
	users int
	timer *time.Timer
	// isReleased is set once the reserve was released or all attempts to do so have failed.
	isReleased bool
}

// Reserve lets a turn of the program begin that generates at most reservation.MaxTokens
// tokens. It returns budget.ErrExhausted, budget.ErrReserved, ErrOverloaded, or an error that
// says that the record can't be reached or that this node is stopping. After success, End
// must be called.
func (l *Ledger) Reserve(ctx context.Context, reservation Reservation) error {
	current := l.openAccount(reservation.Program)
	if current == nil {
		return errStopping
	}
	if err := l.begin(ctx, current, reservation); err != nil {
		l.leaveAccount(reservation.Program, current)
		return err
	}
	l.admission.recordTurn(reservation.Program)
	return nil
}

// End counts the tokens that a turn has handed out. most is what the turn reserved.
func (l *Ledger) End(program string, most, handedOut uint64) {
	l.mutex.Lock()
	current := l.accounts[program]
	if current != nil {
		current.running -= min(most, current.running)
		current.spent += handedOut
		current.reserved -= min(handedOut, current.reserved)
	}
	l.mutex.Unlock()
	if current != nil {
		l.leaveAccount(program, current)
	}
}

// errStopping means that this node is stopping. Another host may let the turn begin.
var errStopping = errors.New("the budget host is stopping")

// openAccount returns the program's account and keeps it from being released. It returns nil
// if this node is stopping.
func (l *Ledger) openAccount(program string) *account {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.flushing {
		return nil
	}
	current := l.accounts[program]
	if current == nil {
		l.accountsOpened++
		l.unreleased++
		current = &account{holder: holderName(l.holder, l.accountsOpened), reserveLock: make(chan struct{}, 1)}
		l.accounts[program] = current
	}
	current.users++
	if current.timer != nil {
		current.timer.Stop()
	}
	return current
}

// leaveAccount ends one use of the account. The last one starts the idle time.
func (l *Ledger) leaveAccount(program string, current *account) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	current.users--
	if current.users > 0 {
		return
	}
	idle := l.settings.IdleTimeout
	if l.flushing {
		idle = 0
	}
	current.timer = time.AfterFunc(idle, func() { l.release(program, current) })
}

// begin takes the turn's tokens from the reserve, or reserves more first.
func (l *Ledger) begin(ctx context.Context, current *account, reservation Reservation) error {
	select {
	case current.reserveLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-current.reserveLock }()
	if l.takeReserved(current, reservation.MaxTokens) {
		return nil
	}
	return l.requestReserve(ctx, current, reservation)
}

func (l *Ledger) takeReserved(current *account, most uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if current.reserved < current.running+most {
		return false
	}
	current.running += most
	return true
}

// requestReserve asks the record for a reserve that covers the turn. Other turns of the
// account may end meanwhile, but none begins.
func (l *Ledger) requestReserve(ctx context.Context, current *account, reservation Reservation) error {
	l.mutex.Lock()
	request := budget.ReserveRequest{Holder: current.holder, Spent: current.spent, Running: current.running, TurnTokens: reservation.MaxTokens}
	l.mutex.Unlock()
	record, err := l.apply(ctx, reservation.Program, l.admission.priorityOf(reservation), func(record *statev1.TokenBudget) {
		l.reserve(record, reservation, request)
	})
	if errors.Is(err, register.ErrUnknownOutcome) {
		l.keepGuaranteed(current, request)
	}
	if err != nil {
		return err
	}
	granted, refusal := budget.ReserveResult(record, request)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	// Turns that ended meanwhile have used a part of the reserve.
	current.reserved = granted - min(granted, current.spent-request.Spent)
	if refusal != nil {
		l.logger.Info("budget refused", zap.String("program", reservation.Program), zap.String("reservation", reservation.Name),
			zap.Uint64("most", reservation.MaxTokens), zap.Uint64("under_way", current.running),
			zap.String("record", budget.Describe(record)), zap.Error(refusal))
		return refusal
	}
	current.running += reservation.MaxTokens
	return nil
}

// reserve changes the record. The decision is read from the record that the register chose.
func (l *Ledger) reserve(record *statev1.TokenBudget, reservation Reservation, request budget.ReserveRequest) {
	budget.SettleEnded(record, l.isEarlierIncarnation)
	if err := budget.Reserve(record, reservation.ProgramLimit, request); !errors.Is(err, budget.ErrReserved) {
		return
	}
	budget.SettleEnded(record, func(holder string) bool { return l.former.hasLeft(reservation.Program, holder) })
	_ = budget.Reserve(record, reservation.ProgramLimit, request)
}

// keepGuaranteed reduces the reserve to what the record grants whether or not a request
// took effect: what turns in progress need. A refused request releases the rest, which
// must not be used for other turns.
func (l *Ledger) keepGuaranteed(current *account, request budget.ReserveRequest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	// Turns that ended meanwhile have used a part of the reserve.
	used := current.spent - request.Spent
	guaranteed := request.Running - min(request.Running, used)
	current.reserved = min(current.reserved, guaranteed)
}

// release releases the account's reserve and removes the account, unless another turn uses it.
func (l *Ledger) release(program string, current *account) {
	pause := l.settings.ReleasePause
	for range l.settings.MaxReleaseAttempts {
		if !l.retire(program, current) {
			return
		}
		if l.releaseOnce(program, current) == nil {
			l.removeAccount(program, current)
			return
		}
		time.Sleep(pause)
		pause = min(2*pause, maxReleasePauseFactor*l.settings.ReleasePause)
	}
	l.logger.Warn("token reserve not released", zap.String("program", program), zap.Uint64("reserved", current.reserved))
	l.removeAccount(program, current)
}

// removeAccount removes an account whose reserve was released or can't be released.
func (l *Ledger) removeAccount(program string, current *account) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if current.users == 0 && l.accounts[program] == current {
		delete(l.accounts, program)
	}
	if !current.isReleased {
		current.isReleased = true
		l.unreleased--
	}
}

// retire removes an unused account, so that a later turn opens another one. It returns false
// if a turn uses the account.
func (l *Ledger) retire(program string, current *account) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if current.users > 0 {
		return false
	}
	if l.accounts[program] == current {
		delete(l.accounts, program)
	}
	return true
}

func (l *Ledger) releaseOnce(program string, current *account) error {
	slots := l.releaseSlotsOf(l.locate(program))
	slots <- struct{}{}
	defer func() { <-slots }()
	ctx, cancel := context.WithTimeout(context.Background(), l.settings.ReleaseTimeout)
	defer cancel()
	_, err := l.apply(ctx, program, lowPriority, func(record *statev1.TokenBudget) {
		budget.Release(record, current.holder, current.spent)
	})
	return err
}

// releaseSlotsOf returns the places for releases in the shard. Each shard has its own, so that
// one whose records can't be reached doesn't delay the releases of others.
func (l *Ledger) releaseSlotsOf(shard uint32) chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	slots := l.releaseSlots[shard]
	if slots == nil {
		slots = make(chan struct{}, maxConcurrentReleases)
		l.releaseSlots[shard] = slots
	}
	return slots
}

// apply changes the program's record and returns the record that the register chose. The
// register may call change several times, on different records, and choose the result of an
// earlier call. A decision must therefore be read from the returned record, never kept by
// change.
func (l *Ledger) apply(ctx context.Context, program string, level priority, change func(*statev1.TokenBudget)) (*statev1.TokenBudget, error) {
	if err := l.admission.beginChange(level); err != nil {
		return nil, err
	}
	began := l.now()
	chosen, err := l.registers.Apply(ctx, l.locate(program), program, func(current []byte) ([]byte, error) {
		record, err := budget.Decode(program, current)
		if err != nil {
			return nil, err
		}
		change(record)
		return budget.Encode(record)
	})
	l.admission.endChange(began, err)
	if err != nil {
		return nil, err
	}
	return budget.Decode(program, chosen)
}

// IsRefusal reports whether the error is a decision of the budget rather than a failure to
// reach it.
func IsRefusal(err error) bool {
	return errors.Is(err, budget.ErrExhausted) || errors.Is(err, budget.ErrReserved)
}
