package replica

import (
	"strings"

	"github.com/ansel1/merry/v2"
)

// MaxNameBytes limits the size of register keys, program IDs and names of meta values.
const MaxNameBytes = 1024

// Errors of all Store implementations of this package.
var (
	// ErrInvalidName is returned for a register key, program ID or meta name that is
	// empty, longer than MaxNameBytes or contains a zero byte.
	ErrInvalidName = merry.Sentinel("invalid name in replica store")
	// ErrClosed is returned by every method after Close.
	ErrClosed = merry.Sentinel("replica store is closed")
)

// Store holds the state of the shards that one node replicates. When a method that writes
// returns, the data has reached the implementation's medium, so the replica may answer. If
// a method returns an error, the replica must reject the request and never answer as if
// the register were empty. Implementations are safe for concurrent use.
type Store interface {
	// LoadRegister returns the state of the register, or the zero Register if it was
	// never saved.
	LoadRegister(shard uint32, key string) (Register, error)
	// SaveRegister replaces the state of the register. An empty Value is stored as nil.
	SaveRegister(shard uint32, key string, state Register) error
	// EachRegister calls visit for the registers in order of their keys, until visit
	// returns an error.
	EachRegister(shard uint32, visit func(key string, state Register) error) error

	// PutTurn stores the turn. It replaces a turn with the same program, sequence and
	// digest.
	PutTurn(shard uint32, turn Turn) error
	// ReadTurns calls visit for the program's turns whose sequence is at least from, in
	// order of sequence and digest, until visit returns an error. Several turns may have
	// the same sequence; the chain of digests determines which one belongs to the
	// program's history.
	ReadTurns(shard uint32, program string, from uint64, visit func(Turn) error) error
	// EachTurn calls visit for all turns of the shard, in order of program, sequence and
	// digest, until visit returns an error.
	EachTurn(shard uint32, visit func(Turn) error) error
	// DeleteTurns deletes the turns of an ended program, but not its register.
	DeleteTurns(shard uint32, program string) error

	// LoadMeta returns a small named value of the shard, such as its epoch, or nil if
	// there is none.
	LoadMeta(shard uint32, name string) ([]byte, error)
	// SaveMeta replaces the value. An empty value removes it.
	SaveMeta(shard uint32, name string, value []byte) error
	// DropShard deletes the registers, turns and meta values of the shard.
	DropShard(shard uint32) error
	// Close closes the store. Every later call but Close returns ErrClosed.
	Close() error
}

// TurnLister is implemented by stores that can list turns without reading their objects.
type TurnLister interface {
	// EachTurnKey visits the turns of the shard like EachTurn, but without their objects.
	EachTurnKey(shard uint32, visit func(Turn) error) error
}

var (
	_ TurnLister = (*Memory)(nil)
	_ TurnLister = (*Disk)(nil)
)

// EachTurnKey visits the turns of the shard without their objects. If the store is a
// TurnLister, the objects aren't read.
func EachTurnKey(store Store, shard uint32, visit func(Turn) error) error {
	if lister, found := store.(TurnLister); found {
		return lister.EachTurnKey(shard, visit)
	}
	return store.EachTurn(shard, func(turn Turn) error {
		turn.Object = nil
		return visit(turn)
	})
}

// ChainStore is implemented by stores that know the ancestors of turns.
type ChainStore interface {
	// PutTurnOfChain stores the turn like PutTurn and returns the names of its ancestors
	// that the shard lacks.
	PutTurnOfChain(shard uint32, turn Turn) (missing []string, err error)
}

// PutTurnOfChain stores the turn and returns the names of its ancestors that the shard lacks.
// It returns none if the store isn't a ChainStore.
func PutTurnOfChain(store Store, shard uint32, turn Turn) (missing []string, err error) {
	if chains, found := store.(ChainStore); found {
		return chains.PutTurnOfChain(shard, turn)
	}
	return nil, store.PutTurn(shard, turn)
}

// checkName returns ErrInvalidName for a name that can't be part of a key.
func checkName(name string) error {
	if name == "" || len(name) > MaxNameBytes || strings.IndexByte(name, 0) >= 0 {
		return merry.Errorf("%w: %.64q, want 1 to %d bytes without a zero byte", ErrInvalidName, name, MaxNameBytes)
	}
	return nil
}
