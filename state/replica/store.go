package replica

import (
	"strings"

	"github.com/ansel1/merry/v2"
)

// MaxNameBytes limits register keys, program ids and names of meta values (chosen, not
// measured).
const MaxNameBytes = 1024

// Errors of every Store of this package.
var (
	// ErrName is returned for a key, program id or meta name that is empty,
	// longer than MaxNameBytes or holds a zero byte.
	ErrName = merry.Sentinel("name can't be stored")
	// ErrClosed is returned by every method after Close.
	ErrClosed = merry.Sentinel("replica store is closed")
)

// Store keeps the state of the shards that one node replicates. A write has reached its
// medium when the method returns, so that a replica may answer then. Implementations are
// safe for concurrent use. Where a method returns an error, the replica must refuse the
// request: it must never answer as if the register were empty.
type Store interface {
	// LoadRegister returns the state of the key, the zero Register where it was never
	// saved.
	LoadRegister(shard uint32, key string) (Register, error)
	// SaveRegister replaces the state of the key. An empty Value is kept as nil.
	SaveRegister(shard uint32, key string, state Register) error
	// EachRegister calls visit in order of the keys until it returns an error.
	EachRegister(shard uint32, visit func(key string, state Register) error) error

	// PutTurn stores the turn, in place of one with the same program, sequence and
	// digest.
	PutTurn(shard uint32, turn Turn) error
	// ReadTurns calls visit for the program's turns from the sequence number on, in
	// order of sequence, until it returns an error. Several turns may have one sequence
	// number; the chain of digests says which one is the program's.
	ReadTurns(shard uint32, program string, from uint64, visit func(Turn) error) error
	// EachTurn calls visit for all turns of the shard, in order of program, sequence and
	// digest, until it returns an error.
	EachTurn(shard uint32, visit func(Turn) error) error
	// DropProgram removes the turns of an ended program; its register stays.
	DropProgram(shard uint32, program string) error

	// LoadMeta returns a small named value of the shard, such as its epoch, or nil.
	LoadMeta(shard uint32, name string) ([]byte, error)
	// SaveMeta replaces the value; an empty one removes it.
	SaveMeta(shard uint32, name string, value []byte) error
	// DropShard removes everything of the shard.
	DropShard(shard uint32) error
	// Close ends the use of the store. Every later call returns ErrClosed.
	Close() error
}

// TurnLister is implemented by stores that list turns without reading their
// objects.
type TurnLister interface {
	// EachTurnName visits the turns of the shard as EachTurn does, without
	// their objects.
	EachTurnName(shard uint32, visit func(Turn) error) error
}

var (
	_ TurnLister = (*Memory)(nil)
	_ TurnLister = (*Disk)(nil)
)

// EachTurnName visits the turns of the shard without their objects. It doesn't read the
// objects where the store is a TurnLister.
func EachTurnName(store Store, shard uint32, visit func(Turn) error) error {
	if lister, found := store.(TurnLister); found {
		return lister.EachTurnName(shard, visit)
	}
	return store.EachTurn(shard, func(turn Turn) error {
		turn.Object = nil
		return visit(turn)
	})
}

// checkName returns ErrName for a name that can't be part of a key.
func checkName(name string) error {
	if name == "" || len(name) > MaxNameBytes || strings.IndexByte(name, 0) >= 0 {
		return merry.Errorf("%w: %.64q, want 1 to %d bytes without a zero byte", ErrName, name, MaxNameBytes)
	}
	return nil
}
