package shard_test

import (
	"context"
	"errors"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/state/replica"
)

// statusSource is a source with one turn, whose members answer unless they are gone. If
// listing is set, each listing is announced there and waits for a second receiver.
type statusSource struct {
	gone    map[string]bool
	listing chan struct{}
}

func (s *statusSource) Pull(_ context.Context, member register.Member, request shard.PullRequest, visit func(shard.PullItem) error) (archive.Reply, error) {
	if s.listing != nil && request.OmitObjects {
		s.listing <- struct{}{}
		s.listing <- struct{}{}
	}
	if s.gone[member.Node] {
		return archive.Reply{}, errors.New("connection refused")
	}
	turn := replica.Turn{Program: "turn", Sequence: 1}
	if !request.OmitObjects {
		turn.Object = []byte("object")
	}
	return archive.Reply{}, visit(shard.PullItem{Turn: &turn})
}

func statusMember(name string) register.Member {
	return register.Member{Node: name, Incarnation: name}
}

// copyOfShard is a replica that becomes a member of the second epoch of shard 0.
type copyOfShard struct {
	replica   *shard.Replica
	installer *shard.Installer
	source    *statusSource
	request   shard.InstallRequest
	views     *shard.Map
	logs      *observer.ObservedLogs
}

func newCopyOfShard() *copyOfShard {
	core, logs := observer.New(zapcore.InfoLevel)
	c := &copyOfShard{source: &statusSource{gone: make(map[string]bool)}, views: shard.NewMap(1), logs: logs}
	c.replica = shard.NewReplica("new", replica.NewMemory(), c.views, func() uint64 { return 0 })
	c.replica.LogCopies(zap.New(core))
	c.installer = shard.NewInstaller(c.replica, c.replica.ObserveSource(c.source), zap.NewNop())
	c.request = shard.InstallRequest{
		Previous:  register.View{Epoch: 1, Members: []register.Member{statusMember("a"), statusMember("b"), statusMember("c")}},
		Successor: register.View{Epoch: 2, Members: []register.Member{statusMember("a"), statusMember("b"), statusMember("new")}},
	}
	c.views.Learn(c.request.Previous)
	return c
}

func (c *copyOfShard) status() shard.Status { return c.replica.Statuses()[0] }

// TestStatusNamesMembersThatKeepShardFromBeingCopied guards against a copy that waits for
// members that don't answer while nothing tells which.
func TestStatusNamesMembersThatKeepShardFromBeingCopied(t *testing.T) {
	c := newCopyOfShard()
	assert.Equal(t, c.status().State, shard.ReplicaOther)
	c.source.gone["b"], c.source.gone["c"] = true, true
	reply := c.installer.Install(t.Context(), c.request)
	assert.Equal(t, reply.Refusal, register.RefusalNotReady)
	status := c.status()
	assert.Equal(t, status.State, shard.ReplicaMissing)
	assert.Equal(t, status.Copy.Phase, shard.CopyIdle)
	assert.Equal(t, status.View.Epoch, uint64(1))
	assert.Equal(t, status.DecidedEpoch, uint64(2))
	assert.Assert(t, !status.LackingSince.IsZero())
	assert.Equal(t, status.Copy.Answers["a"].Error, "")
	assert.Equal(t, status.Copy.Answers["b"].Error, "connection refused")
	assert.Equal(t, status.Copy.Answers["c"].Error, "connection refused")

	clear(c.source.gone)
	assert.Equal(t, c.installer.Install(t.Context(), c.request).Refusal, register.RefusalNone)
	status = c.status()
	assert.Equal(t, status.State, shard.ReplicaWhole)
	assert.Equal(t, status.DataEpoch, uint64(2))
	assert.Assert(t, status.LackingSince.IsZero() && !status.HeldSince.IsZero())
	assert.Equal(t, len(status.Copy.Answers), 0)
	turns, bytes := c.replica.CopiedTotal()
	assert.Equal(t, turns, uint64(1))
	assert.Equal(t, bytes, uint64(len("object")))
}

// TestStatusTellsPhaseOfCopy guards against a running copy of which nothing tells what it
// waits for.
func TestStatusTellsPhaseOfCopy(t *testing.T) {
	c := newCopyOfShard()
	c.source.listing = make(chan struct{})
	done := make(chan archive.Reply)
	go func() { done <- c.installer.Install(t.Context(), c.request) }()
	<-c.source.listing
	status := c.status()
	assert.Equal(t, status.State, shard.ReplicaCopying)
	assert.Equal(t, status.Copy.Phase, shard.CopyListing)
	assert.Assert(t, !status.Copy.Since.IsZero())
	for {
		select {
		case <-c.source.listing:
			continue
		case reply := <-done:
			assert.Equal(t, reply.Refusal, register.RefusalNone)
		}
		break
	}
	assert.Equal(t, c.status().Copy.Phase, shard.CopyIdle)
}

// TestCopyIsLoggedOnce guards against a failing copy that fills the log with one line a try.
func TestCopyIsLoggedOnce(t *testing.T) {
	c := newCopyOfShard()
	c.source.gone["b"], c.source.gone["c"] = true, true
	for range 5 {
		c.installer.Install(t.Context(), c.request)
	}
	clear(c.source.gone)
	c.installer.Install(t.Context(), c.request)
	third := register.View{Epoch: 3, Members: c.request.Previous.Members}
	c.views.Learn(third)
	assert.Equal(t, c.status().State, shard.ReplicaOther)
	var messages []string
	for _, line := range c.logs.All() {
		messages = append(messages, line.Message)
	}
	assert.DeepEqual(t, messages, []string{"shard copy began", "shard copied", "shard left"})
	copied := c.logs.FilterMessage("shard copied").All()[0].ContextMap()
	assert.Equal(t, copied["epoch"], uint64(2))
	assert.Equal(t, copied["turns"], uint64(1))
	assert.Equal(t, copied["bytes"], uint64(len("object")))
}

// TestRestartedReplicaTellsThatItLacksData guards against a node that was stopped while it
// copied and then counts as whole.
func TestRestartedReplicaTellsThatItLacksData(t *testing.T) {
	store := replica.NewMemory()
	successor := newCopyOfShard().request.Successor
	views := shard.NewMap(1)
	views.Learn(successor)
	stopped := shard.NewReplica("new", store, views, func() uint64 { return 0 })
	assert.Equal(t, stopped.Statuses()[0].State, shard.ReplicaMissing)
	restarted := shard.NewReplica("new", store, shard.NewMap(1), func() uint64 { return 0 })
	status := restarted.Statuses()[0]
	assert.Equal(t, status.State, shard.ReplicaMissing)
	assert.Assert(t, !status.LackingSince.IsZero())
}
