package configuration

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/state/result"
)

func TestInstallationCountsMembersOnly(t *testing.T) {
	members := []Member{{Incarnation: "a/1"}, {Incarnation: "b/1"}, {Incarnation: "c/1"}}
	sets := ReplicaSets{Digest: 5, Sets: []ReplicaSet{{Shard: 0, Members: members}}}
	cases := []struct {
		name   string
		answer InstallResult
		counts bool
	}{
		{"installed", InstallResult{Version: 9, Incarnation: "b/1", ShardsDigest: 5}, true},
		{"newer", InstallResult{Version: 10, Incarnation: "b/1"}, true},
		{"older", InstallResult{Version: 8, Incarnation: "b/1", ShardsDigest: 5}, false},
		{"restarted", InstallResult{Version: 9, Incarnation: "b/2", ShardsDigest: 5}, false},
		{"other shard epochs", InstallResult{Version: 9, Incarnation: "b/1", ShardsDigest: 6}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			round := newInstallation(9, sets)
			round.acknowledge(members[0], InstallResult{Version: 9, Incarnation: "a/1"})
			assert.Assert(t, !round.done(), "one of three is no majority")
			round.acknowledge(members[1], test.answer)
			assert.Equal(t, round.done(), test.counts)
		})
	}
}

// TestListPastAnUnseenRemoval: a node that lists the store after a removal it
// has never seen must not take the removed object from a peer that still has
// it, and a peer that has it must learn the removal from that node.
func TestListPastAnUnseenRemoval(t *testing.T) {
	model := Object{Key: Key{KindModel, "m"}, Version: 1, Body: json.RawMessage(`{"context_tokens":9,"default_max_tokens":9}`)}
	gone := Object{Key: Key{KindNode, "n"}, Version: 2, Body: json.RawMessage(`{}`)}
	var behind, ahead replica
	behind.learnEvent(Event{Revision: 1, Object: &model})
	behind.learnEvent(Event{Revision: 2, Object: &gone})
	ahead.learnEvent(Event{Revision: 1, Object: &model})
	assert.Equal(t, ahead.learnList(Listing{Revision: 3, Objects: []Object{model}}, false), verdictTaken)
	assert.Equal(t, ahead.learnList(Listing{Revision: 2, Objects: []Object{model, gone}}, false), verdictStale)

	ahead.learnUpdate(behind.update(0))
	assert.Equal(t, len(ahead.snapshot.Objects(0)), 1)
	behind.learnUpdate(ahead.update(behind.snapshot.Version()))
	assert.Equal(t, len(behind.snapshot.Objects(0)), 1)
}

// TestRecordedCommandIsCompletedFirst stops a command between its record and
// its write; the next one must be checked beside it.
func TestRecordedCommandIsCompletedFirst(t *testing.T) {
	m := newModel()
	defer m.close()
	m.store.write(Key{KindPool, "b"}, json.RawMessage(modelBodies[Key{KindPool, "b"}][0]))
	engine := Key{KindEngine, "e"}
	m.startCommand(Change{Key: engine, Body: json.RawMessage(modelBodies[engine][2]), CommandID: "first", Operator: "ann"}, m.nodes[0])
	for step := 0; m.store.current(intentKey).Deleted; step++ {
		assert.Assert(t, step < 100, "the command isn't recorded")
		m.run(0)
	}
	assert.Assert(t, m.store.current(engine).Deleted)
	m.startCommand(Change{Key: Key{KindPool, "b"}, Expected: 2, Remove: true, CommandID: "second", Operator: "bob"}, m.nodes[1])
	for step := 0; !m.commands[1].done; step++ {
		assert.Assert(t, step < 100, "the command doesn't end")
		m.run(len(m.tasks) - 1)
	}
	assert.ErrorContains(t, m.commands[1].err, result.InvalidConfiguration.String())
	assert.Equal(t, Writer(m.store.current(engine).Body).CommandID, "first")
}

// TestInvalidStoreAtTheStart: what can be made of it is only taken when no peer
// has turned up with something better.
func TestInvalidStoreAtTheStart(t *testing.T) {
	w := newWorld(1, 1, 0)
	defer w.close()
	w.store.write(Key{KindNode, "n"}, json.RawMessage(`{}`))
	w.store.write(Key{KindPool, "p"}, json.RawMessage(`{"zone":"z"}`))
	agent := w.nodes[0].agent
	list := func() error {
		done := make(chan error, 1)
		w.spawn(w.nodes[0], func() { done <- agent.listStore(context.Background()) })
		for len(w.tasks) > 0 {
			w.run(0)
		}
		return <-done
	}
	agent.plan()
	assert.ErrorContains(t, list(), "pool/p: field zone: isn't a field")
	assert.Equal(t, agent.Faults()[0].Field, "zone")
	w.now = w.now.Add(DefaultSettings().RepairAfter + time.Second)
	assert.NilError(t, list())
	_, found := w.nodes[0].holder.Current().Node("n")
	assert.Assert(t, found)
	assert.Equal(t, len(agent.Faults()), 1)
}

func TestFileArchive(t *testing.T) {
	folder := t.TempDir()
	archive := NewFileArchive(folder)
	empty, err := archive.Load()
	assert.NilError(t, err)
	assert.Equal(t, empty.Version, uint64(0))
	update := mustApply(t, 5, fixture()).updateSince(0)
	assert.NilError(t, archive.Save(update))
	loaded, err := archive.Load()
	assert.NilError(t, err)
	assert.DeepEqual(t, loaded, update)
	assert.NilError(t, os.WriteFile(filepath.Join(folder, archiveFile), []byte("{"), 0o600))
	_, err = archive.Load()
	assert.ErrorContains(t, err, "damaged")
}
