package register_test

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

	"github.com/marblering/marblering/coordination/limit"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/test/bubble"
)

const (
	traceSeeds   = 3
	traceChanges = 25
	// traceSilence is how long a member takes that says nothing: longer than a request
	// may take.
	traceSilence = 3 * time.Second
)

// tracedCluster is a memoryCluster whose members answer, fail, refuse or say nothing
// by a seed. It notes when each of them is asked.
type tracedCluster struct {
	*memoryCluster
	// slowest is the longest that an answer takes.
	slowest time.Duration
	began   time.Time

	mutex sync.Mutex
	lines []string
}

func (c *tracedCluster) note(format string, args ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lines = append(c.lines, fmt.Sprintf("%9.3f ms ", time.Since(c.began).Seconds()*1000)+fmt.Sprintf(format, args...))
}

// answer waits as long as the member takes. It draws from a source of its own for each
// member and moment, so that requests that begin at one moment don't depend on each
// other's order.
func (c *tracedCluster) answer(kind, node string) (register.Refusal, error) {
	c.note("%s %s", kind, node)
	drawn := rand.New(rand.NewPCG(uint64(time.Since(c.began)), register.Rank(node, kind)))
	takes := time.Duration(1 + drawn.Int64N(int64(c.slowest)))
	switch drawn.IntN(10) {
	case 0:
		time.Sleep(traceSilence + takes)
		return register.RefusalNone, errLost
	case 1:
		time.Sleep(takes)
		return register.RefusalNone, errLost
	case 2:
		time.Sleep(takes)
		return register.RefusalNotReady, nil
	default:
		time.Sleep(takes)
		return register.RefusalNone, nil
	}
}

func (c *tracedCluster) Prepare(_ context.Context, member register.Member, request register.PrepareRequest) (register.PrepareReply, error) {
	refusal, err := c.answer("prepare", member.Node)
	if err != nil || refusal != register.RefusalNone {
		return register.PrepareReply{Refusal: refusal}, err
	}
	return c.memoryCluster.Prepare(context.Background(), member, request)
}

func (c *tracedCluster) Accept(_ context.Context, member register.Member, request register.AcceptRequest) (register.AcceptReply, error) {
	refusal, err := c.answer("accept", member.Node)
	if err != nil || refusal != register.RefusalNone {
		return register.AcceptReply{Refusal: refusal}, err
	}
	return c.memoryCluster.Accept(context.Background(), member, request)
}

// TestWhoIsAskedWhen pins which members are asked when, over members that are late,
// fail, refuse and say nothing: order, hedges, their budget, and who is asked last.
func TestWhoIsAskedWhen(t *testing.T) {
	kinds := []struct {
		name     string
		settings register.Settings
	}{
		{"all at once", register.Settings{}},
		{"thrifty", register.Settings{Thrift: &register.Thrift{Local: "c-1", Delay: 150 * time.Millisecond}}},
		{"thrifty, fresh", register.Settings{Thrift: &register.Thrift{Delay: 80 * time.Millisecond}, FreshPatience: 200 * time.Millisecond}},
	}
	var text strings.Builder
	for _, kind := range kinds {
		for seed := range uint64(traceSeeds) {
			bubble.Test(t, func(t *testing.T) {
				fmt.Fprintf(&text, "%s, seed %d%s\n\n", kind.name, seed, trace(t, seed, kind.settings))
			})
		}
	}
	golden.Assert(t, text.String(), "asked.golden")
}

func trace(t *testing.T, seed uint64, kind register.Settings) string {
	random := rand.New(rand.NewPCG(seed, 1))
	cluster := &tracedCluster{
		memoryCluster: newMemoryCluster("a", "b", "c", "d", "e"),
		slowest:       time.Duration(1+random.IntN(400)) * time.Millisecond, began: time.Now(),
	}
	for i := range cluster.known.Members {
		cluster.known.Members[i].Address = cluster.known.Members[i].Node
	}
	cluster.current = cluster.known
	settings := register.DefaultSettings()
	settings.FreshPatience = kind.FreshPatience
	if kind.Thrift != nil {
		thrift := *kind.Thrift
		thrift.Reach, thrift.Now = reach.New(time.Now), time.Now
		thrift.Hedges = limit.NewRetryBudget(limit.HedgePolicy(), time.Now())
		settings.Thrift = &thrift
	}
	client := register.NewClient("client", cluster, cluster, register.SystemClock{}, rand.New(rand.NewPCG(seed, 2)), settings)
	for change := range traceChanges {
		_, err := client.Apply(t.Context(), 0, fmt.Sprint("key", random.IntN(8)), increment)
		cluster.note("end %d: %v", change, err)
		time.Sleep(time.Duration(random.Int64N(int64(200 * time.Millisecond))))
	}
	time.Sleep(time.Minute)
	return joined(cluster.lines)
}

// joined sorts the lines and makes one of those that differ in the member only.
func joined(lines []string) string {
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
