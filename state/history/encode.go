// Package history represents the conversation of a program as a hash chain of turns.
//
// A turn is the protobuf message [statev1.Turn]: the messages that a caller
// added and the answer to them. It is identified by the SHA-256 digest of its
// encoding and contains the program's id and the digest of the previous turn.
// A program's record holds the digest of the newest turn, the head. The head
// is enough to verify every turn of the chain, so a corrupt turn or a turn of
// another program is never accepted as part of the history.
//
// The package defines the stored form of turns, verifies chains and caches them. It does
// no I/O: coordination/archive writes and reads turns, and state/replica stores them.
// The fields of a turn are defined in api/state. See docs/design/history.md for the design.
package history

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	statev1 "github.com/marblering/marblering/api/state/v1"
)

// MaxTurnBytes is the maximum size of an encoded turn before compression. It also limits
// the memory for decompressing an object. It is twice the default of request_size_limit.
const MaxTurnBytes = 16 << 20

// codecConcurrency limits how many turns are compressed or decompressed at the same time,
// and thereby the memory for the codec's buffers.
const codecConcurrency = 4

// codecWindowBytes is the window size of the compressor. It exceeds the size of a typical
// turn; a larger window would only take more memory.
const codecWindowBytes = 256 << 10

// Formats of an object, given by its first byte.
const (
	// formatPlain is the uncompressed encoding.
	formatPlain byte = 0
	// formatZstd is the encoding compressed with zstd.
	formatZstd byte = 1
)

// Errors of encoding and decoding, for use with errors.Is.
var (
	// ErrTooLarge means that a turn's encoding exceeds MaxTurnBytes.
	ErrTooLarge = merry.Sentinel("turn exceeds the size limit")
	// ErrCorrupt means that an object can't be decoded or doesn't match its digest.
	ErrCorrupt = merry.Sentinel("turn object is corrupt")
)

// Digest is the SHA-256 digest of a turn's encoding. It identifies the turn.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Bytes returns the digest as a new slice, the form that records store.
func (d Digest) Bytes() []byte { return append([]byte(nil), d[:]...) }

// ParseDigest converts a digest from the form that records and turns store. It
// returns an error unless the slice has [sha256.Size] bytes.
func ParseDigest(raw []byte) (Digest, error) {
	if len(raw) != sha256.Size {
		return Digest{}, merry.Errorf("digest has %d bytes, want %d", len(raw), sha256.Size)
	}
	return Digest(raw), nil
}

// codec holds the compressor and decompressor. Both are safe for concurrent use
// and expensive to create.
type codec struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// sharedCodec creates the codec on first use. The codec carries no state from one object to
// the next.
var sharedCodec = sync.OnceValues(newCodec)

func newCodec() (codec, error) {
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(codecConcurrency),
		zstd.WithEncoderCRC(false), // the digest covers the content
		zstd.WithWindowSize(codecWindowBytes),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		return codec{}, merry.Prepend(err, "creating the turn compressor")
	}
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(codecConcurrency),
		zstd.WithDecoderMaxMemory(MaxTurnBytes))
	if err != nil {
		return codec{}, merry.Prepend(err, "creating the turn decompressor")
	}
	return codec{encoder: encoder, decoder: decoder}, nil
}

// Encode returns the object in which the turn is stored and the digest that
// identifies it. Equal turns give equal objects. It returns [ErrTooLarge] for a turn
// whose encoding exceeds [MaxTurnBytes].
func Encode(turn *statev1.Turn) (object []byte, digest Digest, err error) {
	encoding, err := proto.MarshalOptions{Deterministic: true}.Marshal(turn)
	if err != nil {
		return nil, Digest{}, merry.Prependf(err, "encoding turn %d of program %q", turn.GetSequence(), turn.GetProgram())
	}
	if len(encoding) > MaxTurnBytes {
		return nil, Digest{}, merry.Prependf(ErrTooLarge, "turn %d of program %q has %d bytes, limit %d",
			turn.GetSequence(), turn.GetProgram(), len(encoding), MaxTurnBytes)
	}
	object, err = compress(encoding)
	if err != nil {
		return nil, Digest{}, err
	}
	return object, sha256.Sum256(encoding), nil
}

// compress returns the object for an encoding, uncompressed if compression doesn't make it
// smaller.
func compress(encoding []byte) ([]byte, error) {
	codec, err := sharedCodec()
	if err != nil {
		return nil, err
	}
	compressed := codec.encoder.EncodeAll(encoding, []byte{formatZstd})
	if len(compressed) <= len(encoding) {
		return compressed, nil
	}
	return append([]byte{formatPlain}, encoding...), nil
}

// Decode returns the turn that an object holds. It returns [ErrCorrupt] if the
// object can't be decoded or doesn't match the digest.
func Decode(object []byte, digest Digest) (*statev1.Turn, error) {
	encoding, err := decompress(object)
	if err != nil {
		return nil, merry.Prependf(err, "turn %s", digest)
	}
	if actual := Digest(sha256.Sum256(encoding)); actual != digest {
		return nil, merry.Prependf(ErrCorrupt, "object of turn %s has digest %s", digest, actual)
	}
	turn := &statev1.Turn{}
	if err := proto.Unmarshal(encoding, turn); err != nil {
		return nil, merry.Prependf(ErrCorrupt, "parsing turn %s: %v", digest, err)
	}
	return turn, nil
}

// decompress returns the encoding that the object holds.
func decompress(object []byte) ([]byte, error) {
	if len(object) == 0 {
		return nil, merry.Prepend(ErrCorrupt, "object is empty")
	}
	content := object[1:]
	switch object[0] {
	case formatPlain:
		return content, nil
	case formatZstd:
		return decompressZstd(content)
	default:
		return nil, merry.Prependf(ErrCorrupt, "object has unknown format %d", object[0])
	}
}

func decompressZstd(content []byte) ([]byte, error) {
	codec, err := sharedCodec()
	if err != nil {
		return nil, err
	}
	encoding, err := codec.decoder.DecodeAll(content, nil)
	if err != nil {
		return nil, merry.Prependf(ErrCorrupt, "decompressing %d bytes: %v", len(content), err)
	}
	return encoding, nil
}
