package storage

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// releaseTimeout limits the release of quota slots at shutdown, and that of budget
	// reserves.
	releaseTimeout = time.Second
	// callDrainTimeout limits the wait for calls of other nodes at shutdown. No node waits
	// longer for their answers.
	callDrainTimeout = peerTimeout
	// answerDrainTime is for the last answers to leave: the server still buffers what
	// handlers have written.
	answerDrainTime = 100 * time.Millisecond
)

// drain releases what this node holds for others and ends the calls under way, each stage
// within a time of its own. The services and listeners must still run.
func (n *Node) drain() {
	n.logger.Info("stopping", callFields(n.handler.CallsUnderWay())...)
	n.releaseReserves()
	n.drainCalls()
	time.Sleep(answerDrainTime)
}

// releaseReserves releases quota slots and budget reserves at the same time, each within
// releaseTimeout. This node must still take part in the replica sets.
func (n *Node) releaseReserves() {
	var releases sync.WaitGroup
	for _, release := range []func(context.Context){n.quotas.Release, n.ledger.Flush} {
		releases.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			release(ctx)
		})
	}
	releases.Wait()
}

// drainCalls refuses new calls of other nodes and waits for those under way, within
// callDrainTimeout.
func (n *Node) drainCalls() {
	ctx, cancel := context.WithTimeout(context.Background(), callDrainTimeout)
	defer cancel()
	if cut := n.handler.Drain(ctx); len(cut) > 0 {
		n.logger.Warn("calls of other nodes cut", append(callFields(cut), zap.Duration("after", callDrainTimeout))...)
	}
}

// callFields returns the log fields for numbers of calls by kind.
func callFields(calls map[string]int64) []zap.Field {
	var total int64
	var kinds []string
	for _, kind := range slices.Sorted(maps.Keys(calls)) {
		total += calls[kind]
		kinds = append(kinds, fmt.Sprintf("%s:%d", kind, calls[kind]))
	}
	return []zap.Field{zap.Int64("calls", total), zap.String("kinds", strings.Join(kinds, ","))}
}
