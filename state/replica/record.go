package replica

import (
	"encoding/binary"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
)

// ErrCorrupt is returned if stored data fails verification.
var ErrCorrupt = merry.Sentinel("replica data is corrupted")

// The first byte of a key is the kind of the entry. Numbers are big-endian, so that keys
// sort by shard and turns of a program by sequence. Keys of each kind:
//
//	header
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
	// keyPrefixBytes is the size of kind and shard at the start of a key.
	keyPrefixBytes = 1 + 4
	// turnKeySuffixBytes is the size of separator, sequence and digest at the end of the
	// key of a turn.
	turnKeySuffixBytes = 1 + 8 + 32
	// checksumBytes is the size of the checksum that precedes a payload.
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
	key := turnKeyPrefix(shard, turn.Program, turn.Sequence)
	return append(key, turn.Digest[:]...)
}

// turnKeyPrefix returns the common prefix of the keys of the program's turns with the
// sequence.
func turnKeyPrefix(shard uint32, program string, sequence uint64) []byte {
	return binary.BigEndian.AppendUint64(programPrefix(shard, program), sequence)
}

func keyShard(key []byte) uint32 {
	return binary.BigEndian.Uint32(key[1:keyPrefixBytes])
}

// encodeEntry returns the value to store: a checksum of key and payload, then the payload.
// The checksum covers the key so that a value under the wrong key is detected.
func encodeEntry(key, payload []byte) []byte {
	value := make([]byte, 0, checksumBytes+len(payload))
	value = binary.BigEndian.AppendUint64(value, checksum(key, payload))
	return append(value, payload...)
}

// decodeEntry verifies the checksum of a stored value and returns its payload.
func decodeEntry(key, value []byte) ([]byte, error) {
	if len(value) < checksumBytes {
		return nil, merry.Errorf("%w: entry %q has only %d bytes", ErrCorrupt, key, len(value))
	}
	payload := value[checksumBytes:]
	if storedChecksum(value) != checksum(key, payload) {
		return nil, merry.Errorf("%w: checksum mismatch in entry %q", ErrCorrupt, key)
	}
	return payload, nil
}

func storedChecksum(value []byte) uint64 {
	return binary.BigEndian.Uint64(value)
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
		return Register{}, merry.Errorf("%w: decode register state: %w", ErrCorrupt, err)
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

// decodeTurn returns the turn with the key and object.
func decodeTurn(key, object []byte) (Turn, error) {
	if len(key) <= keyPrefixBytes+turnKeySuffixBytes {
		return Turn{}, merry.Errorf("%w: turn key %q is too short", ErrCorrupt, key)
	}
	suffix := key[len(key)-turnKeySuffixBytes:]
	turn := Turn{
		Program:  string(key[keyPrefixBytes : len(key)-turnKeySuffixBytes]),
		Sequence: binary.BigEndian.Uint64(suffix[1:]),
		Object:   object,
	}
	copy(turn.Digest[:], suffix[1+8:])
	return copyTurn(turn), nil
}
