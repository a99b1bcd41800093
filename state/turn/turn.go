// Package turn encodes and decodes the stored form of a retained turn: protobuf,
// compressed with zstd, and identified by the id of its request and the SHA-256 digest of
// the compressed bytes.
//
// It does no I/O: coordination/turnstore stores and finds turns. The fields of a turn are
// defined in api/state.
package turn

import (
	"crypto/sha256"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	statev1 "github.com/marblering/marblering/api/state/v1"
)

// MaxEncodedBytes is the maximum size of an encoded turn before compression. It also
// limits the memory that decompression may allocate.
const MaxEncodedBytes = 16 << 20

// compressionWindowBytes is the window size of the compressor. Turns are some tens of
// kilobytes, so a larger window would only take memory.
const compressionWindowBytes = 128 << 10

// Codec encodes and decodes turns. It is safe for concurrent use.
type Codec struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// NewCodec returns a codec that compresses at the fastest level and with little memory.
func NewCodec() (*Codec, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(compressionWindowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, err
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxEncodedBytes))
	if err != nil {
		return nil, err
	}
	return &Codec{encoder: encoder, decoder: decoder}, nil
}

// Encode returns the stored form of the turn and its digest. It returns an error for a
// turn whose encoding exceeds MaxEncodedBytes.
func (c *Codec) Encode(retained *statev1.RetainedTurn) (object []byte, digest [sha256.Size]byte, err error) {
	plain, err := proto.MarshalOptions{Deterministic: true}.Marshal(retained)
	if err != nil {
		return nil, digest, err
	}
	if len(plain) > MaxEncodedBytes {
		return nil, digest, merry.Errorf("turn %q has %d encoded bytes, the maximum is %d", retained.GetId(), len(plain), MaxEncodedBytes)
	}
	object = c.encoder.EncodeAll(plain, nil)
	return object, sha256.Sum256(object), nil
}

// Decode decodes the stored form of the turn with the id. It returns an error if the
// object doesn't match the digest or contains a different turn.
func (c *Codec) Decode(id string, object []byte, digest [sha256.Size]byte) (*statev1.RetainedTurn, error) {
	if sha256.Sum256(object) != digest {
		return nil, merry.Errorf("object of turn %q doesn't match its digest", id)
	}
	plain, err := c.decoder.DecodeAll(object, nil)
	if err != nil {
		return nil, merry.Prependf(err, "decompressing turn %q", id)
	}
	retained := &statev1.RetainedTurn{}
	if err := proto.Unmarshal(plain, retained); err != nil {
		return nil, merry.Prependf(err, "decoding turn %q", id)
	}
	if retained.GetId() != id {
		return nil, merry.Errorf("object of turn %q contains turn %q", id, retained.GetId())
	}
	return retained, nil
}
