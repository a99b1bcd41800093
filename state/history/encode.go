// Package history keeps the conversation of a program as a chain of turns.
//
// A turn is the protobuf message [statev1.Turn]: the messages that a caller
// added and the answer to them. It is named by the SHA-256 digest of its
// encoding and carries the program's id and the digest of the turn before it.
// A program's record holds the digest of the newest turn, the head: whoever
// has the head can check every turn of the chain, so that a corrupted turn, or
// one of another program, is never taken for the program's own.
//
// The package owns the stored form of turns, the check of a chain and a cache of chains.
// It does no I/O: coordination/archive stores and reads turns, state/replica keeps them.
// It relies on api/state for the fields of a turn. docs/design/history.md has the reasons.
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

// MaxTurnBytes is the greatest size of one encoded turn before compression. It also bounds
// what decoding one object may allocate. A request's body has at most half as many bytes
// by default, a usual turn 14 kB.
const MaxTurnBytes = 16 << 20

// codecConcurrency bounds how many turns are compressed or decompressed at one time, and
// thereby the memory of the codec's work buffers (chosen, not measured).
const codecConcurrency = 4

// codecWindowBytes is how far back the compressor looks for repetitions. Turns are some
// tens of kilobytes, so that a wider window would only take memory (chosen, not measured).
const codecWindowBytes = 256 << 10

// Formats of an object. Its first byte names the format.
const (
	// formatPlain is the encoding as it is.
	formatPlain byte = 0
	// formatZstd is the encoding compressed with zstd.
	formatZstd byte = 1
)

// Errors of encoding and decoding; test for them with errors.Is.
var (
	// ErrTooLarge means that a turn's encoding exceeds MaxTurnBytes.
	ErrTooLarge = merry.Sentinel("turn exceeds the size limit")
	// ErrCorrupt means that an object isn't the one that its digest names.
	ErrCorrupt = merry.Sentinel("turn object is corrupt")
)

// Digest is the SHA-256 digest of a turn's encoding. It names the turn.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Bytes returns the digest as a new slice, the form in which records keep it.
func (d Digest) Bytes() []byte { return append([]byte(nil), d[:]...) }

// ParseDigest converts the form in which records and turns keep a digest. It
// refuses a slice of any other length than [sha256.Size].
func ParseDigest(raw []byte) (Digest, error) {
	if len(raw) != sha256.Size {
		return Digest{}, merry.Errorf("digest has %d bytes, not %d", len(raw), sha256.Size)
	}
	return Digest(raw), nil
}

// codec holds the compressor and decompressor; both are safe for concurrent
// use and expensive to make.
type codec struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// sharedCodec makes the codec at its first use. The codec keeps nothing from one object to
// the next.
var sharedCodec = sync.OnceValues(newCodec)

func newCodec() (codec, error) {
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(codecConcurrency),
		zstd.WithEncoderCRC(false), // the digest covers the content
		zstd.WithWindowSize(codecWindowBytes),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		return codec{}, merry.Prepend(err, "making the turn compressor")
	}
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(codecConcurrency),
		zstd.WithDecoderMaxMemory(MaxTurnBytes))
	if err != nil {
		return codec{}, merry.Prepend(err, "making the turn decompressor")
	}
	return codec{encoder: encoder, decoder: decoder}, nil
}

// Encode returns the object under which the turn is stored and the digest that
// names it. Equal turns give equal objects. It returns [ErrTooLarge] for a turn
// whose encoding exceeds [MaxTurnBytes].
func Encode(turn *statev1.Turn) (object []byte, digest Digest, err error) {
	encoding, err := proto.MarshalOptions{Deterministic: true}.Marshal(turn)
	if err != nil {
		return nil, Digest{}, merry.Prependf(err, "encoding turn %d of program %q", turn.GetSequence(), turn.GetProgram())
	}
	if len(encoding) > MaxTurnBytes {
		return nil, Digest{}, merry.Prependf(ErrTooLarge, "turn %d of program %q has %d bytes of at most %d",
			turn.GetSequence(), turn.GetProgram(), len(encoding), MaxTurnBytes)
	}
	object, err = compress(encoding)
	if err != nil {
		return nil, Digest{}, err
	}
	return object, sha256.Sum256(encoding), nil
}

// compress returns the object of an encoding, plain where compression doesn't shorten it.
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

// Decode returns the turn of an object. It returns [ErrCorrupt] where the
// object isn't the one that the digest names.
func Decode(object []byte, digest Digest) (*statev1.Turn, error) {
	encoding, err := decompress(object)
	if err != nil {
		return nil, merry.Prependf(err, "turn %s", digest)
	}
	if actual := Digest(sha256.Sum256(encoding)); actual != digest {
		return nil, merry.Prependf(ErrCorrupt, "turn %s has the content of %s", digest, actual)
	}
	turn := &statev1.Turn{}
	if err := proto.Unmarshal(encoding, turn); err != nil {
		return nil, merry.Prependf(ErrCorrupt, "turn %s can't be parsed: %v", digest, err)
	}
	return turn, nil
}

// decompress returns the encoding that the object holds.
func decompress(object []byte) ([]byte, error) {
	if len(object) == 0 {
		return nil, merry.Prepend(ErrCorrupt, "the object is empty")
	}
	content := object[1:]
	switch object[0] {
	case formatPlain:
		return content, nil
	case formatZstd:
		return decompressZstd(content)
	default:
		return nil, merry.Prependf(ErrCorrupt, "the object has unknown format %d", object[0])
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
