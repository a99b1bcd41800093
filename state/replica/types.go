// Package replica keeps what one replica of a shard must not forget: the
// register states (promises and accepted values) and the history turns.
package replica

// Ballot orders the proposals for one register. The zero ballot is smaller
// than every proposed one.
type Ballot struct {
	Counter uint64
	// Proposer is the incarnation of the proposing node; it breaks ties.
	Proposer string
}

// Less reports whether b orders before other.
func (b Ballot) Less(other Ballot) bool {
	if b.Counter != other.Counter {
		return b.Counter < other.Counter
	}
	return b.Proposer < other.Proposer
}

// IsZero reports whether b is the zero ballot.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// Register is the state of one register at one replica.
type Register struct {
	Promised Ballot
	Accepted Ballot
	// Value was accepted at Accepted; nil before the first.
	Value []byte
}

// Turn is one stored turn of a program's history. The object is opaque here;
// the digest names it.
type Turn struct {
	Program  string
	Sequence uint64
	Digest   [32]byte
	Object   []byte
}

// Store keeps the state of the shards that one node replicates. A write has
// reached its medium when the method returns: a replica answers only then.
// Implementations are safe for concurrent use. A failed read or write returns
// an error and must never be answered as an empty register.
type Store interface {
	LoadRegister(shard uint32, key string) (Register, error)
	SaveRegister(shard uint32, key string, state Register) error
	// EachRegister calls visit in key order until it returns an error.
	EachRegister(shard uint32, visit func(key string, state Register) error) error

	PutTurn(shard uint32, turn Turn) error
	// ReadTurns calls visit in order of sequence for the turns of the program
	// from the given sequence on. Several turns may stand at one sequence; only
	// the chain tells which is the program's.
	ReadTurns(shard uint32, program string, from uint64, visit func(Turn) error) error
	EachTurn(shard uint32, visit func(Turn) error) error
	// DropProgram forgets the turns of an ended program.
	DropProgram(shard uint32, program string) error

	// LoadMeta and SaveMeta keep small named values of a shard, such as its
	// epoch and its seal; an absent one is nil.
	LoadMeta(shard uint32, name string) ([]byte, error)
	SaveMeta(shard uint32, name string, value []byte) error
	// DropShard forgets everything of the shard.
	DropShard(shard uint32) error
	Close() error
}
