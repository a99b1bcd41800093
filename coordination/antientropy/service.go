// Package antientropy fetches the ancestors of turns that a replica lacks.
//
// A replica keeps each turn with its whole chain in the same shard. A gateway stores missing
// ancestors before a turn counts as stored, but the chain may be incomplete all the same: a
// turn on the disk may be from a build that didn't store chains whole, a gateway of such a
// build ignores which ancestors are missing, and a gateway may end before it has stored them.
// Service completes such chains with the copies of other replicas, of any shard. Package
// expiry records which ancestors are lacking.
package antientropy

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/archive"
	"github.com/marblering/marblering/coordination/register"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/state/turn"
)

const (
	// DefaultInterval is the time between two rounds.
	DefaultInterval = 5 * time.Second
	// maxTurnsPerRequest limits the turns that one request reads.
	maxTurnsPerRequest = 32
	// maxTurnsPerRound limits the turns that one round looks for, over all shards.
	maxTurnsPerRound = 512
	// notFoundPause is how long a turn isn't looked for after no replica had it.
	notFoundPause = time.Minute
)

// Chains tells which ancestors this node's replica lacks. expiry.Store implements it.
type Chains interface {
	// Lacking returns the ids of the ancestors that are needed and not stored, by shard.
	Lacking() map[uint32][]string
}

// Writer stores turns in this node's replica. shard.Replica implements it.
type Writer interface {
	// CheckRequest returns why the replica refuses requests with the fence, if it does.
	CheckRequest(fence register.Fence) register.Refusal
	PutTurn(ctx context.Context, fence register.Fence, stored replica.Turn) archive.Reply
}

// Reader reads turns of other replicas. peer.Client implements it.
type Reader interface {
	ReadMany(ctx context.Context, member register.Member, fence register.Fence, ids []string) ([]replica.Turn, archive.Reply, error)
}

// Views gives access to the known replica sets. shard.Map implements it.
type Views interface {
	Views() []register.View
}

// Options configures a Service.
type Options struct {
	// Incarnation identifies this node among the members of the replica sets.
	Incarnation string
	Chains      Chains
	Writer      Writer
	Reader      Reader
	Views       Views
	Interval    time.Duration
	Now         func() time.Time
	Logger      *zap.Logger
}

// Service completes the chains of one replica. It implements suture.Service.
type Service struct {
	options Options
	codec   *turn.Codec
	// notFound are the turns that no replica had, with the time until which they aren't
	// looked for. Only the goroutine of Serve uses it.
	notFound map[wanted]time.Time
}

// wanted is a turn that a shard lacks.
type wanted struct {
	shard uint32
	id    string
}

// New returns a service. It does nothing until Serve is called.
func New(options Options) (*Service, error) {
	codec, err := turn.NewCodec()
	if err != nil {
		return nil, err
	}
	return &Service{options: options, codec: codec, notFound: make(map[wanted]time.Time)}, nil
}

// String returns the service name for the supervisor's log messages.
func (s *Service) String() string { return "anti-entropy of turns" }

// Serve runs rounds periodically until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	ticker := time.NewTicker(s.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.Round(ctx)
		}
	}
}

// Round fetches the ancestors that the replica lacks, as far as other replicas have them.
func (s *Service) Round(ctx context.Context) {
	now := s.options.Now()
	maps.DeleteFunc(s.notFound, func(_ wanted, until time.Time) bool { return now.After(until) })
	current := &round{Service: s, views: s.options.Views.Views(), failed: make(map[string]error)}
	left := maxTurnsPerRound
	for shard, lacking := range s.options.Chains.Lacking() {
		ids := s.withoutNotFound(shard, lacking)
		ids = ids[:min(len(ids), left)]
		left -= len(ids)
		for batch := range slices.Chunk(ids, maxTurnsPerRequest) {
			if ctx.Err() != nil {
				return
			}
			current.fetch(ctx, shard, batch)
		}
	}
}

// withoutNotFound returns those of the turns that may be looked for now.
func (s *Service) withoutNotFound(shard uint32, ids []string) []string {
	var left []string
	for _, id := range ids {
		if _, isKnown := s.notFound[wanted{shard: shard, id: id}]; !isKnown {
			left = append(left, id)
		}
	}
	return left
}

// recordNotFound records turns that no replica has.
func (s *Service) recordNotFound(shard uint32, ids []string) {
	until := s.options.Now().Add(notFoundPause)
	for _, id := range ids {
		s.notFound[wanted{shard: shard, id: id}] = until
	}
}
