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
	// changeWork is the processor time of one change of a record, which all hosts
	// of the test share: a set's members do each change together.
	changeWork = 4 * time.Millisecond
	// programTurns, turnTime and turnPause are those of each program; programTime
	// is what it may take in all.
	programTurns = 6
	turnTime     = 150 * time.Millisecond
	turnPause    = 150 * time.Millisecond
	programTime  = 4 * time.Second
	// turnTries is how often a client asks for one turn, refusalPause how long it
	// waits in between.
	turnTries    = 3
	refusalPause = 300 * time.Millisecond
	// gatewayCount are so many that a turn seldom enters where the one before did.
	gatewayCount = 40
	// offeredTime is how long programs begin.
	offeredTime = 12 * time.Second
)

// processor makes changes one after the other. What its caller has given up by
// the time that its turn comes costs nothing.
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

// load takes programs through gateways that are chosen anew for each turn.
type load struct {
	gateways []*tokenbudget.Client
	finished atomic.Int64
	// interrupted programs failed after a turn of theirs had been served.
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
	for try := range turnTries {
		client := l.gateways[random.IntN(len(l.gateways))]
		wanted := tokenbudget.Reservation{
			Program: program, Name: fmt.Sprint(id, "/", try), Limit: 1200, Most: 100, Lifetime: 10 * time.Second,
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err := client.Reserve(ctx, wanted)
		cancel()
		if err == nil {
			time.Sleep(turnTime)
			client.End(tokenbudget.Ended{Program: program, Reservation: wanted.Name, HandedOut: 80})
			return true
		}
		time.Sleep(refusalPause)
	}
	return false
}

// goodput is how many programs a second are finished in time where so many begin.
func goodput(t *testing.T, offered float64) (finished, interrupted float64) {
	t.Helper()
	bubble.Test(t, func(*testing.T) {
		shared := processor{sharedRegister: newSharedRegister(), busy: make(chan struct{}, 1)}
		carried := &network{hosts: make(map[string]*tokenbudget.Host), down: make(map[string]bool), lossy: make(map[string]bool)}
		var view staticViews
		for i := range 5 {
			name := fmt.Sprint("host", i)
			ledger := tokenbudget.New(name, shared, func(string) uint32 { return 0 }, tokenbudget.DefaultSettings(), time.Now, zap.NewNop())
			carried.hosts[name] = tokenbudget.NewHost(ledger, time.Now)
			view.members = append(view.members, register.Member{Node: name, Address: name})
		}
		l := &load{}
		for range gatewayCount {
			l.gateways = append(l.gateways, tokenbudget.NewClient(carried, view, reach.New(time.Now), time.Now, zap.NewNop()))
		}
		random := rand.New(rand.NewPCG(1, 2))
		var running sync.WaitGroup
		pause := time.Duration(float64(time.Second) / offered)
		for i := range int(offered * offeredTime.Seconds()) {
			source := rand.New(rand.NewPCG(random.Uint64(), uint64(i)))
			running.Go(func() { l.runProgram(fmt.Sprint("p", i), source) })
			time.Sleep(pause)
		}
		running.Wait()
		// What is given back late ends before the test does.
		time.Sleep(time.Minute)
		finished = float64(l.finished.Load()) / offeredTime.Seconds()
		interrupted = float64(l.interrupted.Load()) / offeredTime.Seconds()
	})
	return finished, interrupted
}

// TestGoodputUnderOverload: where more programs come than the hosts can take,
// those that have begun are finished and others are refused. A program whose
// later turns are refused has used what it has used for nothing.
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
			assert.Assert(t, programs >= 0.9*best, "%.1f finished of %.0f, %.1f at best", programs, offered, best)
		}
	}
}
