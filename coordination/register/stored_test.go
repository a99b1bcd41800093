package register_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/mirror"
	"github.com/marblering/marblering/coordination/quota"
	"github.com/marblering/marblering/coordination/record"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/coordination/shard"
	"github.com/marblering/marblering/coordination/tokenbudget"
	"github.com/marblering/marblering/state/program"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/test/bubble"
)

const storedIncarnation = "s-1/a"

// storageNode is a single storage node with all components that write to its store.
type storageNode struct {
	store     *recordingStore
	member    register.Member
	views     *shard.Map
	replica   *shard.Replica
	installer *shard.Installer
	client    *register.Client
}

func newStorageNode() *storageNode {
	n := &storageNode{
		store:  &recordingStore{Memory: replica.NewMemory(), meta: make(map[string][]byte)},
		member: register.Member{Node: "s-1", Incarnation: storedIncarnation, Address: "10.0.0.1:7000", Zone: "z-1"},
		views:  shard.NewMap(1),
	}
	n.views.Learn(register.View{Epoch: shard.FirstEpoch, Members: []register.Member{n.member}})
	n.replica = shard.NewReplica(storedIncarnation, n.store, n.views, func() uint64 { return 41 })
	n.installer = shard.NewInstaller(n.replica, n, zap.NewNop())
	n.client = register.NewClient("g-1/b", n, clientViews{n.views}, register.SystemClock{}, rand.New(rand.NewPCG(1, 1)), register.DefaultSettings())
	return n
}

// recordingStore records the meta values that are saved, since a replica.Store can't list
// them.
type recordingStore struct {
	*replica.Memory
	mutex sync.Mutex
	meta  map[string][]byte
}

func (s *recordingStore) SaveMeta(shard uint32, name string, value []byte) error {
	s.mutex.Lock()
	s.meta[fmt.Sprintf("%d %q", shard, name)] = value
	s.mutex.Unlock()
	return s.Memory.SaveMeta(shard, name, value)
}

// clientViews is the shard map with the fixed configuration version 41.
type clientViews struct{ *shard.Map }

func (clientViews) ConfigurationVersion() uint64               { return 41 }
func (clientViews) LearnConfiguration(context.Context, uint64) {}

var (
	_ shard.Members = (*storageNode)(nil)
	_ shard.Source  = (*storageNode)(nil)
)

func (n *storageNode) Prepare(ctx context.Context, _ register.Member, request register.PrepareRequest) (register.PrepareReply, error) {
	return n.replica.Prepare(ctx, request), nil
}

func (n *storageNode) Accept(ctx context.Context, _ register.Member, request register.AcceptRequest) (register.AcceptReply, error) {
	return n.replica.Accept(ctx, request), nil
}

func (n *storageNode) Seal(ctx context.Context, _ register.Member, request shard.SealRequest) (archive.Reply, error) {
	return n.replica.Seal(ctx, request), nil
}

func (n *storageNode) Install(ctx context.Context, _ register.Member, request shard.InstallRequest) (archive.Reply, error) {
	return n.installer.Install(ctx, request), nil
}

func (n *storageNode) Open(ctx context.Context, _ register.Member, request shard.OpenRequest) (archive.Reply, error) {
	return n.replica.Open(ctx, request), nil
}

func (n *storageNode) Pull(ctx context.Context, _ register.Member, request shard.PullRequest, visit func(shard.PullItem) error) (archive.Reply, error) {
	return n.replica.Pull(ctx, request, visit)
}

// dumpStore formats the whole content of the store.
func (n *storageNode) dumpStore(t *testing.T) string {
	t.Helper()
	var text strings.Builder
	assert.NilError(t, n.store.EachRegister(0, func(key string, state replica.Register) error {
		fmt.Fprintf(&text, "register %q\n  promised %+q\n  accepted %+q\n  %+q\n", key, ballotText(state.Promised), ballotText(state.Accepted), state.Value)
		return nil
	}))
	n.store.mutex.Lock()
	defer n.store.mutex.Unlock()
	for _, name := range slices.Sorted(maps.Keys(n.store.meta)) {
		fmt.Fprintf(&text, "meta of shard %s\n  %+q\n", name, n.store.meta[name])
	}
	return text.String()
}

func ballotText(ballot replica.Ballot) string {
	return fmt.Sprintf("%d of %s", ballot.Counter, ballot.Proposer)
}

// TestStoredFormat guards against changes of the stored format, which nodes of two
// versions share, by comparing each package's stored data with a golden file.
func TestStoredFormat(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n := newStorageNode()
		writeProgram(t, n)
		writeTokenBudget(t, n)
		writeQuotaHolder(t, n)
		writeMirror(t, n)
		assert.NilError(t, n.replica.PersistConfigurationVersion())
		writeNextEpoch(t, n)
		golden.Assert(t, n.dumpStore(t), "stored.golden")
	})
}

func writeProgram(t *testing.T, n *storageNode) {
	t.Helper()
	records := record.NewStore(n.client, n.views.Locate, 10)
	_, err := records.Apply(t.Context(), "p-1", func(*statev1.ProgramTree) (*statev1.ProgramTree, error) {
		return program.New(program.Specification{Root: "p-1", Tenant: "shop", Model: "m", BudgetTokens: 1000, CreatedUnixMS: 1_700_000_000_000}), nil
	})
	assert.NilError(t, err)
}

func writeTokenBudget(t *testing.T, n *storageNode) {
	t.Helper()
	ledger := tokenbudget.NewLedger(storedIncarnation, n.client, n.views.Locate, tokenbudget.DefaultSettings(), time.Now, zap.NewNop())
	assert.NilError(t, ledger.Reserve(t.Context(), tokenbudget.Reservation{Program: "conversation", ProgramLimit: 5000, MaxTokens: 100}))
}

func writeQuotaHolder(t *testing.T, n *storageNode) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	holder := quota.NewHolder(storedIncarnation, "s-1", n.client, time.Now, zap.NewNop())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = holder.Serve(ctx)
	}()
	for isHolder := false; !isHolder; time.Sleep(time.Millisecond) {
		_, isHolder = holder.Take(quota.PermitRequest{}).(quota.Granted)
	}
	cancel()
	<-done
}

func writeMirror(t *testing.T, n *storageNode) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	holder, err := mirror.NewHolder([]string{"instances"}, n.store, time.Now, zap.NewNop())
	assert.NilError(t, err)
	holder.Update("instances", follow.Snapshot{
		Objects: []follow.Object{{Name: "i-1", Revision: 7, Spec: []byte(`{"a":1}`), Status: []byte(`{}`)}},
		At:      9, Unnamed: 1, Age: time.Second, FreshAt: time.Now(),
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = holder.Serve(ctx)
	}()
	time.Sleep(time.Minute)
	cancel()
	<-done
}

// writeNextEpoch moves the shard to its second epoch.
func writeNextEpoch(t *testing.T, n *storageNode) {
	t.Helper()
	driver := shard.NewDriver(storedIncarnation, n, n.views, register.SystemClock{}, rand.New(rand.NewPCG(1, 1)), register.DefaultSettings(), zap.NewNop())
	current, _ := n.views.View(0)
	opened, err := driver.Drive(t.Context(), current, current.Members)
	assert.NilError(t, err)
	assert.Equal(t, opened.Epoch, shard.FirstEpoch+1)
}

// TestRank compares the ranks of members for a key and the key's shard with a golden file,
// since nodes of all versions must compute the same ones.
func TestRank(t *testing.T) {
	var text strings.Builder
	for _, node := range []string{"s-1", "s-2", "s-3"} {
		fmt.Fprintf(&text, "%s %016x\n", node, register.Rank(node, "conversation"))
	}
	fmt.Fprintf(&text, "shard of conversation among 64: %d\n", shard.NewMap(64).Locate("conversation.2"))
	golden.Assert(t, text.String(), "rank.golden")
}
