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
	// silentMemberDelay is how long a silent member takes: longer than the request timeout.
	silentMemberDelay = 3 * time.Second
)

// tracedCluster is a memoryCluster whose members answer, fail, refuse or stay silent as
// determined by the time and the member. It logs when each of them is asked.
type tracedCluster struct {
	*memoryCluster
	// maxLatency is the longest that a member takes to answer, unless it is silent.
	maxLatency time.Duration
	started    time.Time

	mutex sync.Mutex
	lines []string
}

func (c *tracedCluster) logf(format string, args ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lines = append(c.lines, fmt.Sprintf("%9.3f ms ", time.Since(c.started).Seconds()*1000)+fmt.Sprintf(format, args...))
}

// answer waits for the member's latency and returns its refusal or error. The random
// source is seeded by the time, the member and the kind of the request, so that requests
// that begin at the same time don't depend on each other's order.
func (c *tracedCluster) answer(kind, node string) (register.Refusal, error) {
	c.logf("%s %s", kind, node)
	random := rand.New(rand.NewPCG(uint64(time.Since(c.started)), register.Rank(node, kind)))
	latency := time.Duration(1 + random.Int64N(int64(c.maxLatency)))
	switch random.IntN(10) {
	case 0:
		time.Sleep(silentMemberDelay + latency)
		return register.RefusalNone, errLost
	case 1:
		time.Sleep(latency)
		return register.RefusalNone, errLost
	case 2:
		time.Sleep(latency)
		return register.RefusalNotReady, nil
	default:
		time.Sleep(latency)
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

// TestMemberRequestOrder compares the order and times of requests to members, hedges
// included, with a golden file if members are late, fail, refuse or stay silent.
func TestMemberRequestOrder(t *testing.T) {
	kinds := []struct {
		name     string
		settings register.Settings
	}{
		{"all at once", register.Settings{}},
		{"thrifty", register.Settings{ThriftyQuorum: &register.ThriftyQuorum{Local: "c-1", HedgeDelay: 150 * time.Millisecond}}},
		{"thrifty, fresh", register.Settings{ThriftyQuorum: &register.ThriftyQuorum{HedgeDelay: 80 * time.Millisecond}, FastRoundTimeout: 200 * time.Millisecond}},
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
		maxLatency:    time.Duration(1+random.IntN(400)) * time.Millisecond, started: time.Now(),
	}
	for i := range cluster.clientView.Members {
		cluster.clientView.Members[i].Address = cluster.clientView.Members[i].Node
	}
	cluster.memberView = cluster.clientView
	settings := register.DefaultSettings()
	settings.FastRoundTimeout = kind.FastRoundTimeout
	if kind.ThriftyQuorum != nil {
		thrifty := *kind.ThriftyQuorum
		thrifty.Reach, thrifty.Now = reach.New(time.Now), time.Now
		thrifty.HedgeBudget = limit.NewRetryBudget(limit.DefaultHedgePolicy(), time.Now())
		settings.ThriftyQuorum = &thrifty
	}
	client := register.NewClient("client", cluster, cluster, register.SystemClock{}, rand.New(rand.NewPCG(seed, 2)), settings)
	for change := range traceChanges {
		_, err := client.Apply(t.Context(), 0, fmt.Sprint("key", random.IntN(8)), increment)
		cluster.logf("end %d: %v", change, err)
		time.Sleep(time.Duration(random.Int64N(int64(200 * time.Millisecond))))
	}
	time.Sleep(time.Minute)
	return mergeLines(cluster.lines)
}

// mergeLines sorts the lines and merges those that differ only in the member.
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
