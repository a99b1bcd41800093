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

// Register changes a value by compare-and-swap and returns it. register.Client is one.
type Register interface {
	Apply(ctx context.Context, shard uint32, key string, change register.Change) ([]byte, error)
}

// Settings are the bounds of a Ledger.
type Settings struct {
	// IdleTime is how long a program may have no turn before its account is
	// closed, which gives its reserve back.
	IdleTime time.Duration
	// ReleaseTimeout bounds one try to give a reserve back. ReleasePause follows
	// the first try that failed and doubles with each. ReleaseTries is the number
	// of tries. What can't be given back stays charged.
	ReleaseTimeout time.Duration
	ReleasePause   time.Duration
	ReleaseTries   int
	// Draws bounds the changes of records under way: more would make each other
	// late. Crowd bounds the deferrable ones among them.
	Draws limit.AdaptivePolicy
	Crowd limit.AdaptivePolicy
}

// DefaultSettings give reserves back about a second after a program's last turn.
// The times are chosen, not measured.
func DefaultSettings() Settings {
	return Settings{
		IdleTime: 700 * time.Millisecond, ReleaseTimeout: 2 * time.Second,
		ReleasePause: 300 * time.Millisecond, ReleaseTries: 10,
		Draws: limit.DefaultAdaptivePolicy(), Crowd: limit.DefaultAdaptivePolicy(),
	}
}

const (
	// maxReleasePauseFactor is the longest pause between two tries to give a reserve back,
	// as a multiple of Settings.ReleasePause. Chosen, not measured.
	maxReleasePauseFactor = 16
	// maxConcurrentReleases bounds the returns of reserves under way: while a record can't
	// be reached, many accounts become idle. Chosen, not measured.
	maxConcurrentReleases = 16
)

// Ledger lets turns begin and counts what they generate. It is safe for
// concurrent use.
type Ledger struct {
	holder    string
	registers Register
	locate    func(program string) uint32
	settings  Settings
	logger    *zap.Logger

	// releaseSlots has a place for each return of a reserve under way.
	releaseSlots chan struct{}
	admission *admission
	now       func() time.Time

	mutex    sync.Mutex
	accounts map[string]*account
	accountsOpened   uint64
	// flushing is set once no turn begins and no account waits for its idle time any
	// more.
	flushing bool
	// unreleased counts the accounts whose reserve wasn't given back yet.
	unreleased int
}

// New makes a ledger. The holder is the name under which records keep its
// reserves; it must be unique over all hosts and all restarts of each. It is the name of
// a node, a slash and what names this life of the node. A node must not run twice at
// once.
func New(holder string, registers Register, locate func(program string) uint32, settings Settings, now func() time.Time, logger *zap.Logger) *Ledger {
	return &Ledger{
		holder: holder, registers: registers, locate: locate, settings: settings, logger: logger,
		accounts: make(map[string]*account), releaseSlots: make(chan struct{}, maxConcurrentReleases),
		admission: newAdmission(settings.Draws, settings.Crowd, now), now: now,
	}
}

// account is one program's reserve at this host. The ledger's mutex guards it;
// drawing is held by the turn that changes the record.
type account struct {
	holder  string
	drawLock chan struct{}
	// Tokens: spent is what ended turns have generated, underWay the most that
	// turns under way may generate, and reserved what the record grants this host.
	spent    uint64
	underWay uint64
	reserved uint64
	// users are the turns that are under way or want to begin.
	users int
	timer *time.Timer
	// isReleased is set once the reserve was given back, or can't be.
	isReleased bool
}

// Reserve lets a turn of the program begin that generates at most wanted.Most
// tokens. It returns budget.ErrSpent, budget.ErrReserved, ErrOverloaded, or an
// error that says that the record can't be reached or that this node stops. After
// success, End must be called.
func (l *Ledger) Reserve(ctx context.Context, wanted Reservation) error {
	current := l.openAccount(wanted.Program)
	if current == nil {
		return errStopping
	}
	if err := l.begin(ctx, current, wanted); err != nil {
		l.leaveAccount(wanted.Program, current)
		return err
	}
	l.admission.recordTurn(wanted.Program)
	return nil
}

// End counts the tokens that the turn has handed out, of the most that it reserved.
func (l *Ledger) End(program string, most, handedOut uint64) {
	l.mutex.Lock()
	current := l.accounts[program]
	if current != nil {
		current.underWay -= min(most, current.underWay)
		current.spent += handedOut
		current.reserved -= min(handedOut, current.reserved)
	}
	l.mutex.Unlock()
	if current != nil {
		l.leaveAccount(program, current)
	}
}

// errStopping means that this node stops. Another host may let the turn begin.
var errStopping = errors.New("the budget's host stops")

// openAccount returns the program's account and keeps it from being released; nil where this
// node stops.
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
		current = &account{holder: holderName(l.holder, l.accountsOpened), drawLock: make(chan struct{}, 1)}
		l.accounts[program] = current
	}
	current.users++
	if current.timer != nil {
		current.timer.Stop()
	}
	return current
}

// leaveAccount ends one use. The last one starts the idle time.
func (l *Ledger) leaveAccount(program string, current *account) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	current.users--
	if current.users > 0 {
		return
	}
	idle := l.settings.IdleTime
	if l.flushing {
		idle = 0
	}
	current.timer = time.AfterFunc(idle, func() { l.release(program, current) })
}

// begin takes the turn's tokens from the reserve, or draws more first.
func (l *Ledger) begin(ctx context.Context, current *account, wanted Reservation) error {
	select {
	case current.drawLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-current.drawLock }()
	if l.takeReserved(current, wanted.Most) {
		return nil
	}
	return l.draw(ctx, current, wanted)
}

func (l *Ledger) takeReserved(current *account, most uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if current.reserved < current.underWay+most {
		return false
	}
	current.underWay += most
	return true
}

// draw asks the record for a reserve that covers the turn. Turns may end
// meanwhile; none begins.
func (l *Ledger) draw(ctx context.Context, current *account, wanted Reservation) error {
	l.mutex.Lock()
	wish := budget.Draw{Holder: current.holder, Spent: current.spent, UnderWay: current.underWay, Turn: wanted.Most}
	l.mutex.Unlock()
	record, err := l.apply(ctx, wanted.Program, l.admission.priorityOf(wanted), func(record *statev1.TokenBudget) {
		budget.SettleEnded(record, l.isEarlierIncarnation)
		// Whether the turn may begin is read from the record that was chosen.
		_ = budget.Reserve(record, wanted.Limit, wish)
	})
	if errors.Is(err, register.ErrUnknownOutcome) {
		l.keepGuaranteed(current, wish)
	}
	if err != nil {
		return err
	}
	granted, refusal := budget.Decided(record, wish)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	// Turns that ended meanwhile have used a part of it.
	current.reserved = granted - min(granted, current.spent-wish.Spent)
	if refusal != nil {
		l.logger.Info("budget refused", zap.String("program", wanted.Program), zap.String("reservation", wanted.Name),
			zap.Uint64("most", wanted.Most), zap.Uint64("under_way", current.underWay),
			zap.String("record", budget.Standing(record)), zap.Error(refusal))
		return refusal
	}
	current.underWay += wanted.Most
	return nil
}

// keepGuaranteed leaves the account what the record grants it however a draw ended: what its
// turns under way need. A refused draw gives back whatever was reserved beyond that, and
// a smaller turn that began from it afterwards was in no record.
func (l *Ledger) keepGuaranteed(current *account, wish budget.Draw) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	// Turns that ended meanwhile have used a part of it.
	used := current.spent - wish.Spent
	certain := wish.UnderWay - min(wish.UnderWay, used)
	current.reserved = min(current.reserved, certain)
}

// release gives the account's reserve back and forgets it, unless another turn
// came.
func (l *Ledger) release(program string, current *account) {
	pause := l.settings.ReleasePause
	for range l.settings.ReleaseTries {
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

// removeAccount ends an account whose reserve was given back, or can't be.
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

// retire takes the account out of use: a turn that comes now opens another.
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
	l.releaseSlots <- struct{}{}
	defer func() { <-l.releaseSlots }()
	ctx, cancel := context.WithTimeout(context.Background(), l.settings.ReleaseTimeout)
	defer cancel()
	_, err := l.apply(ctx, program, lowPriority, func(record *statev1.TokenBudget) {
		budget.Release(record, current.holder, current.spent)
	})
	return err
}

// apply makes one change of the program's record and returns the record that it left. The
// change may be called several times, each time with a record of its own, and what it
// left may be that of any of its calls: a register that gets no answer tries again and
// may find that an earlier try was chosen. So whatever the change finds out is read from
// the record that is returned. A ledger that kept what the last call found let turns begin
// that no record knew (TestTurnBeginsByTheRecordThatWasChosen).
func (l *Ledger) apply(ctx context.Context, program string, wanted priority, change func(*statev1.TokenBudget)) (*statev1.TokenBudget, error) {
	if err := l.admission.beginChange(wanted); err != nil {
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

// IsRefusal tells an answer about the budget from a failure to reach it.
func IsRefusal(err error) bool {
	return errors.Is(err, budget.ErrSpent) || errors.Is(err, budget.ErrReserved)
}
