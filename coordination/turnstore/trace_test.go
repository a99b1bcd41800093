package turnstore_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/golden"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/coordination/turnstore"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/test/bubble"
)

const (
	traceSeeds   = 6
	traceMembers = 5
	traceActions = 25
)

// tracedMembers implements turnstore.Replicas with members that answer, fail, refuse or
// stay silent at random, and records when each of them is asked.
type tracedMembers struct {
	mutex sync.Mutex
	// slowest is the maximum time that an answer takes.
	slowest time.Duration
	began   time.Time
	lines   []string
}

func (m *tracedMembers) record(format string, args ...any) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lines = append(m.lines, fmt.Sprintf("%9.3f ms ", time.Since(m.began).Seconds()*1000)+fmt.Sprintf(format, args...))
}

// answer uses a separate random source for each member, kind of request and time, so that
// the order of requests that start at the same time doesn't change the results.
func (m *tracedMembers) answer(ctx context.Context, kind, node string) (archive.Reply, error) {
	m.record("%s %s", kind, node)
	drawn := rand.New(rand.NewPCG(uint64(time.Since(m.began)), register.Rank(node, kind)))
	fate := drawn.IntN(10)
	if fate == 0 {
		<-ctx.Done()
	}
	time.Sleep(time.Duration(1 + drawn.Int64N(int64(m.slowest))))
	switch fate {
	case 0:
		return archive.Reply{}, ctx.Err()
	case 1:
		return archive.Reply{}, errDown
	case 2:
		return archive.Reply{Refusal: register.RefusalNotReady}, nil
	default:
		return archive.Reply{}, nil
	}
}

func (m *tracedMembers) PutTurn(ctx context.Context, member register.Member, _ register.Fence, _ replica.Turn) (archive.Reply, error) {
	return m.answer(ctx, "put", member.Node)
}

func (m *tracedMembers) ReadMany(ctx context.Context, member register.Member, _ register.Fence, _ []string) ([]replica.Turn, archive.Reply, error) {
	reply, err := m.answer(ctx, "read", member.Node)
	return nil, reply, err
}

// TestWhoIsAskedWhen pins which members are asked at which time while members are late,
// fail, refuse or stay silent. It covers the order of preference, hedges and their budget.
func TestWhoIsAskedWhen(t *testing.T) {
	var text strings.Builder
	for seed := range uint64(traceSeeds) {
		bubble.Test(t, func(t *testing.T) {
			fmt.Fprintf(&text, "seed %d%s\n\n", seed, trace(t, seed))
		})
	}
	golden.Assert(t, text.String(), "asked.golden")
}

// trace performs random actions and returns the requests and results with their times.
func trace(t *testing.T, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 1))
	m := &tracedMembers{slowest: time.Duration(1+random.IntN(600)) * time.Millisecond, began: time.Now()}
	known := shard.NewMap(1)
	var all []register.Member
	for index := range traceMembers {
		name := fmt.Sprint("m", index)
		all = append(all, register.Member{Node: name, Address: name, Zone: fmt.Sprint("z", index), Incarnation: name})
	}
	known.Learn(register.View{Epoch: shard.FirstEpoch, Members: all})
	store, err := turnstore.New("z2", m, views{known}, reach.New(time.Now), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	for action := range traceActions {
		performAction(store, m, random, action)
		time.Sleep(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
	}
	time.Sleep(time.Minute)
	return mergeLines(m.lines)
}

// mergeLines sorts the lines and merges lines that differ only in the last word, the
// member.
func mergeLines(lines []string) string {
	slices.Sort(lines)
	var text strings.Builder
	before := ""
	for _, line := range lines {
		end := strings.LastIndexByte(line, ' ')
		if line[:end] == before {
			text.WriteString(line[end:])
			continue
		}
		before = line[:end]
		text.WriteString("\n" + line)
	}
	return text.String()
}

// performAction stores a turn or looks up an unknown one, at random.
func performAction(store *turnstore.Store, m *tracedMembers, random *rand.Rand, action int) {
	ctx, cancel := context.WithTimeout(context.Background(), 1900*time.Millisecond)
	defer cancel()
	if random.IntN(2) == 0 {
		m.record("end %d: %v", action, store.Put(ctx, "p", &statev1.RetainedTurn{Id: fmt.Sprint("t", action)}, nil))
		return
	}
	_, err := store.History(ctx, "p", "none")
	m.record("end %d: %v", action, err)
}
