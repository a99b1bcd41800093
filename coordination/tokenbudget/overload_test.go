package tokenbudget_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/test/bubble"
)

const (
	// changeWork is the processor time of one change of a record. All hosts share the
	// processor, as the members of a replica set make each change together.
	changeWork = 4 * time.Millisecond
	// Each program has programTurns turns of turnTime with pauses of turnPause, and must finish
	// within programTime.
	programTurns = 6
	turnTime     = 150 * time.Millisecond
	turnPause    = 150 * time.Millisecond
	programTime  = 4 * time.Second
	// maxTurnAttempts is the number of attempts at one turn, refusalPause the pause after each
	// refusal.
	maxTurnAttempts = 3
	refusalPause    = 300 * time.Millisecond
	// gatewayCount is high, so that consecutive turns seldom use the same gateway.
	gatewayCount = 40
	// offeredTime is the period in which programs begin.
	offeredTime = 12 * time.Second
)

// processor makes one change at a time. A change whose caller gives up while waiting takes no
// processor time.
type processor struct {
	*sharedRegister
	busy chan struct{}
}

func (p processor) Apply(ctx context.Context, shard uint32, key string, change register.Change) ([]byte, error) {
	select {
	case p.busy <- struct{}{}:
		defer func() { <-p.busy }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	time.Sleep(changeWork)
	return p.sharedRegister.Apply(ctx, shard, key, change)
}

// load runs programs through gateways that are chosen at random for each turn.
type load struct {
	gateways []*tokenbudget.Client
	finished atomic.Int64
	// interrupted counts the programs that failed after their first turn.
	interrupted atomic.Int64
}

func (l *load) runProgram(name string, random *rand.Rand) {
	began := time.Now()
	for turn := range programTurns {
		if !l.runTurn(name, fmt.Sprint(name, "-", turn), random) {
			if turn > 0 {
				l.interrupted.Add(1)
			}
			return
		}
		time.Sleep(turnPause)
	}
	if time.Since(began) <= programTime {
		l.finished.Add(1)
	}
}

func (l *load) runTurn(program, id string, random *rand.Rand) bool {
	for attempt := range maxTurnAttempts {
		client := l.gateways[random.IntN(len(l.gateways))]
		reservation := tokenbudget.Reservation{
			Program: program, Name: fmt.Sprint(id, "/", attempt), ProgramLimit: 1200, MaxTokens: 100, Lifetime: 10 * time.Second,
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err := client.Reserve(ctx, reservation)
		cancel()
		if err == nil {
			time.Sleep(turnTime)
			client.End(tokenbudget.EndedTurn{Program: program, Reservation: reservation.Name, TokensUsed: 80})
			return true
		}
		time.Sleep(refusalPause)
	}
	return false
}

// goodput returns the programs per second that finish in time, and those that are interrupted,
// at an offered load of programs per second.
func goodput(t *testing.T, offered float64) (finished, interrupted float64) {
	t.Helper()
	bubble.Test(t, func(*testing.T) {
		shared := processor{sharedRegister: newSharedRegister(), busy: make(chan struct{}, 1)}
		transport := &network{hosts: make(map[string]*tokenbudget.Host), down: make(map[string]bool), lossy: make(map[string]bool)}
		var views staticViews
		for i := range 5 {
			name := fmt.Sprint("host", i)
			ledger := tokenbudget.NewLedger(name, shared, func(string) uint32 { return 0 }, tokenbudget.DefaultSettings(), time.Now, zap.NewNop())
			transport.hosts[name] = tokenbudget.NewHost(ledger, time.Now)
			views.members = append(views.members, register.Member{Node: name, Address: name})
		}
		simulated := &load{}
		for range gatewayCount {
			simulated.gateways = append(simulated.gateways, tokenbudget.NewClient(transport, views, reach.New(time.Now), time.Now, zap.NewNop()))
		}
		random := rand.New(rand.NewPCG(1, 2))
		var running sync.WaitGroup
		pause := time.Duration(float64(time.Second) / offered)
		for i := range int(offered * offeredTime.Seconds()) {
			source := rand.New(rand.NewPCG(random.Uint64(), uint64(i)))
			running.Go(func() { simulated.runProgram(fmt.Sprint("p", i), source) })
			time.Sleep(pause)
		}
		running.Wait()
		// Wait for pending releases.
		time.Sleep(time.Minute)
		finished = float64(simulated.finished.Load()) / offeredTime.Seconds()
		interrupted = float64(simulated.interrupted.Load()) / offeredTime.Seconds()
	})
	return finished, interrupted
}

// TestGoodputUnderOverload guards against hosts that admit more programs under overload than
// they can finish: running programs must finish, and new ones are refused.
func TestGoodputUnderOverload(t *testing.T) {
	best := 0.0
	finished := make(map[float64]float64)
	for _, offered := range []float64{20, 40, 80, 160, 320} {
		var interrupted float64
		finished[offered], interrupted = goodput(t, offered)
		best = max(best, finished[offered])
		t.Logf("%.0f programs a second offered: %.1f finished, %.1f interrupted", offered, finished[offered], interrupted)
	}
	assert.Assert(t, finished[20] >= 19, "%.1f of 20 finished without overload", finished[20])
	for offered, programs := range finished {
		if offered > best {
			assert.Assert(t, programs >= 0.9*best, "%.1f of %.0f programs a second finished, %.1f at best", programs, offered, best)
		}
	}
}
