package conversation_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/conversation"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/state/budget"
	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/test/bubble"
)

// The most tokens that a simulated turn may generate, and the budget of its program.
const (
	maxTurnTokens = 100
	programBudget = 1000
	// tokensPerEvent is the number of tokens in an event; a turn has at most four events.
	tokensPerEvent = 25
	// settlingTime is how long after its end a turn is surely known to its host: a slow
	// link, the delay before ends are reported, and several attempts.
	settlingTime = 4 * time.Second
)

// simulation runs three hosts of budgets and two gateways in virtual time. Messages between
// them and changes of records take a random time, sometimes longer than their senders wait,
// and go on after their senders have given up.
type simulation struct {
	mutex   sync.Mutex
	random  *rand.Rand
	records map[string][]byte
	// changes counts the changes of records.
	changes  int
	hosts    map[string]*tokenbudget.Host
	ledgers  []*tokenbudget.Ledger
	gateways []*conversation.Service
	// delivered is the number of tokens that callers received. unsettled are the times
	// until which turns may still be charged with the most that they may generate.
	delivered uint64
	unsettled map[int]time.Time
	attempts  int
}

func newSimulation(ctx context.Context, seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 0)), records: make(map[string][]byte),
		hosts: make(map[string]*tokenbudget.Host), unsettled: make(map[int]time.Time),
	}
	var view register.View
	for index := range 3 {
		name := fmt.Sprint("host", index)
		ledger := tokenbudget.NewLedger(name+"/life", s, s.Locate, tokenbudget.DefaultSettings(), time.Now, zap.NewNop())
		host := tokenbudget.NewHost(ledger, time.Now)
		go func() { _ = host.Serve(ctx) }()
		s.hosts[name], s.ledgers = host, append(s.ledgers, ledger)
		view.Members = append(view.Members, register.Member{Node: name, Address: name})
	}
	for range 2 {
		tracker := reach.New(time.Now)
		client := tokenbudget.NewClient(s, singleShardView{view}, tracker, time.Now, zap.NewNop())
		isCutOff := func() bool { return false }
		s.gateways = append(s.gateways, conversation.New(nil, client, isCutOff, time.Now, s.randomNumber, zap.NewNop()))
	}
	return s
}

type singleShardView struct{ view register.View }

func (v singleShardView) View(uint32) (register.View, bool) { return v.view, true }
func (singleShardView) Locate(string) uint32                { return 0 }
func (*simulation) Locate(string) uint32                    { return 0 }

// draw returns a random number below the bound.
func (s *simulation) draw(bound int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(bound)
}

func (s *simulation) randomNumber() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Uint64()
}

// delay returns how long a message takes. One of five takes up to 1.2 s, longer than a
// gateway waits for a host.
func (s *simulation) delay() time.Duration {
	if s.draw(5) > 0 {
		return time.Duration(s.draw(20)) * time.Millisecond
	}
	return time.Duration(s.draw(1200)) * time.Millisecond
}

// Apply implements tokenbudget.Register. A change that its caller has given up on is still
// made unless another one was made since: a later ballot of a register supersedes earlier
// ones.
func (s *simulation) Apply(ctx context.Context, _ uint32, key string, change register.Change) ([]byte, error) {
	type outcome struct {
		value []byte
		err   error
	}
	answer := make(chan outcome, 1)
	before, after := s.delay(), s.delay()
	abandonedAt := -1
	go func() {
		time.Sleep(before)
		s.mutex.Lock()
		var made outcome
		if abandonedAt < 0 || abandonedAt == s.changes {
			s.changes++
			made.value, made.err = s.change(key, change)
		}
		s.mutex.Unlock()
		time.Sleep(after)
		answer <- made
	}()
	select {
	case made := <-answer:
		return made.value, made.err
	case <-ctx.Done():
		s.mutex.Lock()
		defer s.mutex.Unlock()
		abandonedAt = s.changes
		return nil, register.ErrNoQuorum
	}
}

// change changes a record. The mutex must be held.
func (s *simulation) change(key string, change register.Change) ([]byte, error) {
	value, err := change(s.records[key])
	if err == nil {
		s.records[key] = value
	}
	return value, err
}

// Reserve implements tokenbudget.HostClient. The host continues with an abandoned request until
// it learns of that, which takes as long as any message.
func (s *simulation) Reserve(ctx context.Context, address string, wanted tokenbudget.Reservation, ended []tokenbudget.EndedTurn) error {
	answer := make(chan error, 1)
	serving, stop := context.WithCancel(context.Background())
	requestDelay, answerDelay, cancelDelay := s.delay(), s.delay(), s.delay()
	go func() {
		time.Sleep(requestDelay)
		s.hosts[address].End(ended)
		err := s.hosts[address].Reserve(serving, wanted)
		time.Sleep(answerDelay)
		answer <- err
		stop()
	}()
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		time.AfterFunc(cancelDelay, stop)
		return ctx.Err()
	}
}

// End implements tokenbudget.HostClient.
func (s *simulation) End(ctx context.Context, address string, ended []tokenbudget.EndedTurn) error {
	answer := make(chan struct{})
	requestDelay := s.delay()
	go func() {
		time.Sleep(requestDelay)
		s.hosts[address].End(ended)
		close(answer)
	}()
	select {
	case <-answer:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// attempt sends one attempt of a turn through a random gateway and returns the gateway's
// refusal. Callers abandon some attempts.
func (s *simulation) attempt(id string) *result.Error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.draw(6) == 0 {
		timer := time.AfterFunc(time.Duration(s.draw(600))*time.Millisecond, cancel)
		defer timer.Stop()
	}
	number := s.beginAttempt()
	turn, refusal := s.gateways[s.draw(len(s.gateways))].Begin(ctx, conversation.Request{
		ID: id, Program: "p", Budget: programBudget, MaxTokens: maxTurnTokens, TokensPerEvent: tokensPerEvent, Timeout: 10 * time.Second,
	})
	if refusal != nil {
		s.endAttempt(number)
		return refusal
	}
	for range s.draw(maxTurnTokens/tokensPerEvent + 1) {
		time.Sleep(time.Duration(s.draw(50)) * time.Millisecond)
		turn.Event([]byte("x"))
		s.addDelivered(tokensPerEvent)
	}
	turn.End()
	s.endAttempt(number)
	return nil
}

func (s *simulation) beginAttempt() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.attempts++
	s.unsettled[s.attempts] = time.Now().Add(time.Hour)
	return s.attempts
}

func (s *simulation) endAttempt(number int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unsettled[number] = time.Now().Add(settlingTime)
}

func (s *simulation) addDelivered(tokens uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delivered += tokens
}

// maxSpent is the most that the program may have generated, as far as callers know.
func (s *simulation) maxSpent() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	spent := s.delivered
	for _, until := range s.unsettled {
		if time.Now().Before(until) {
			spent += maxTurnTokens
		}
	}
	return spent
}

// runTurns runs two concurrent sequences of turns of one program until its budget is spent.
// It returns how many tokens were left when a turn was refused because the budget is spent.
func (s *simulation) runTurns() (tokensLeft uint64) {
	var sequences sync.WaitGroup
	for sequence := range 2 {
		sequences.Go(func() {
			for number := range 40 {
				for range 6 {
					refusal := s.attempt(fmt.Sprintf("turn-%d-%d", sequence, number))
					if refusal == nil {
						if s.draw(4) > 0 {
							break
						}
						// The caller lost the answer and repeats the request.
						continue
					}
					if refusal.Code == result.BudgetExhausted {
						if spent := s.maxSpent(); spent < programBudget {
							tokensLeft = max(tokensLeft, programBudget-spent)
						}
						return
					}
					time.Sleep(max(refusal.RetryAfter, 50*time.Millisecond))
				}
			}
		})
	}
	sequences.Wait()
	return tokensLeft
}

// committed returns the tokens charged in the program's record once all ends are reported
// and all reserves given back.
func (s *simulation) committed(t *testing.T) uint64 {
	time.Sleep(2 * time.Minute)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	record, err := budget.Decode("p", s.records["p"])
	assert.NilError(t, err)
	return budget.Committed(record)
}

// TestBudgetIsCountedThoughMessagesAreLate checks limits, refusals and charges of budgets while
// messages between gateways and hosts are abandoned, repeated or late.
func TestBudgetIsCountedThoughMessagesAreLate(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			bubble.Test(t, func(t *testing.T) { checkBudget(t, seed) })
		})
	}
}

func checkBudget(t *testing.T, seed uint64) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	s := newSimulation(ctx, seed)
	tokensLeft := s.runTurns()
	committed := s.committed(t)
	assert.Check(t, s.delivered < programBudget+maxTurnTokens, "%d tokens delivered with a budget of %d", s.delivered, programBudget)
	assert.Check(t, tokensLeft == 0, "refused as spent with %d tokens left", tokensLeft)
	assert.Check(t, committed == s.delivered, "%d tokens charged, %d delivered", committed, s.delivered)
}
