package replica

import (
	"encoding/binary"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

// ErrCorrupt is returned where stored bytes are not what was written.
var ErrCorrupt = merry.Sentinel("replica data is corrupted")

// The first byte of a key says what the entry holds. Numbers are big-endian,
// so that the order of the keys is the order of the visits.
//
//	header                                       the store's own entry
//	register  shard(4) key
//	meta      shard(4) name
//	turn      shard(4) program 0x00 sequence(8) digest(32)
const (
	kindHeader   byte = 'h'
	kindRegister byte = 'r'
	kindMeta     byte = 'm'
	kindTurn     byte = 't'
)

const (
	// prefixBytes is the size of kind and shard at the beginning of a key.
	prefixBytes = 1 + 4
	// turnSuffixBytes is the size of what follows the program in the key of a turn.
	turnSuffixBytes = 1 + 8 + 32
	// checksumBytes is the size of the checksum before a payload.
	checksumBytes = 8
)

func kindPrefix(kind byte, shard uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{kind}, shard)
}

func registerKey(shard uint32, key string) []byte {
	return append(kindPrefix(kindRegister, shard), key...)
}

func metaKey(shard uint32, name string) []byte {
	return append(kindPrefix(kindMeta, shard), name...)
}

func programPrefix(shard uint32, program string) []byte {
	return append(append(kindPrefix(kindTurn, shard), program...), 0)
}

func turnKey(shard uint32, turn Turn) []byte {
	key := turnStart(shard, turn.Program, turn.Sequence)
	return append(key, turn.Digest[:]...)
}

// turnStart is the smallest key of the program's turns at the sequence.
func turnStart(shard uint32, program string, sequence uint64) []byte {
	return binary.BigEndian.AppendUint64(programPrefix(shard, program), sequence)
}

func keyShard(key []byte) uint32 {
	return binary.BigEndian.Uint32(key[1:prefixBytes])
}

// seal puts before the payload a checksum that covers key and payload, so that
// bytes found under another key don't verify.
func seal(key, payload []byte) []byte {
	sealed := make([]byte, 0, checksumBytes+len(payload))
	sealed = binary.BigEndian.AppendUint64(sealed, checksum(key, payload))
	return append(sealed, payload...)
}

// unseal verifies the checksum and returns the payload.
func unseal(key, sealed []byte) ([]byte, error) {
	if len(sealed) < checksumBytes {
		return nil, merry.Errorf("%w: entry %q has %d bytes", ErrCorrupt, key, len(sealed))
	}
	payload := sealed[checksumBytes:]
	if storedChecksum(sealed) != checksum(key, payload) {
		return nil, merry.Errorf("%w: checksum of entry %q", ErrCorrupt, key)
	}
	return payload, nil
}

func storedChecksum(sealed []byte) uint64 {
	return binary.BigEndian.Uint64(sealed)
}

func checksum(key, payload []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, uint32(len(key))))
	_, _ = digest.Write(key)
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

func encodeRegister(state Register) ([]byte, error) {
	return proto.Marshal(&peerv1.RegisterState{
		Promised: encodeBallot(state.Promised),
		Accepted: encodeBallot(state.Accepted),
		Value:    state.Value,
	})
}

func decodeRegister(payload []byte) (Register, error) {
	var message peerv1.RegisterState
	if err := proto.Unmarshal(payload, &message); err != nil {
		return Register{}, merry.Errorf("%w: register state: %w", ErrCorrupt, err)
	}
	return copyRegister(Register{
		Promised: decodeBallot(message.GetPromised()),
		Accepted: decodeBallot(message.GetAccepted()),
		Value:    message.GetValue(),
	}), nil
}

func encodeBallot(ballot Ballot) *peerv1.Ballot {
	return &peerv1.Ballot{Counter: ballot.Counter, Proposer: ballot.Proposer}
}

func decodeBallot(message *peerv1.Ballot) Ballot {
	return Ballot{Counter: message.GetCounter(), Proposer: message.GetProposer()}
}

// decodeTurn rebuilds a turn from its key and its object.
func decodeTurn(key, object []byte) (Turn, error) {
	if len(key) <= prefixBytes+turnSuffixBytes {
		return Turn{}, merry.Errorf("%w: turn key %q is too short", ErrCorrupt, key)
	}
	suffix := key[len(key)-turnSuffixBytes:]
	turn := Turn{
		Program:  string(key[prefixBytes : len(key)-turnSuffixBytes]),
		Sequence: binary.BigEndian.Uint64(suffix[1:]),
		Object:   object,
	}
	copy(turn.Digest[:], suffix[1+8:])
	return copyTurn(turn), nil
}
