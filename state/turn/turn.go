// Package turn is the form in which a retained turn is stored: encoded,
// compressed, and named by the id of its request and the digest of its bytes.
package turn

import (
	"crypto/sha256"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	statev1 "github.com/marblering/marblering/api/state/v1"
)

// MaxBytes is the largest encoding of a turn, before compression.
const MaxBytes = 16 << 20

// Codec encodes and decodes turns. It is safe for concurrent use.
type Codec struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// NewCodec makes a codec that spends little time and memory.
func NewCodec() (*Codec, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(zstd.MinWindowSize<<7), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, err
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxBytes))
	if err != nil {
		return nil, err
	}
	return &Codec{encoder: encoder, decoder: decoder}, nil
}

// Encode returns the stored form and its digest.
func (c *Codec) Encode(whole *statev1.RetainedTurn) (object []byte, digest [sha256.Size]byte, err error) {
	plain, err := proto.MarshalOptions{Deterministic: true}.Marshal(whole)
	if err != nil {
		return nil, digest, err
	}
	if len(plain) > MaxBytes {
		return nil, digest, merry.Errorf("turn %q has %d bytes, more than %d", whole.GetId(), len(plain), MaxBytes)
	}
	object = c.encoder.EncodeAll(plain, nil)
	return object, sha256.Sum256(object), nil
}

// Decode checks and reads the stored form of the turn with the id.
func (c *Codec) Decode(id string, object []byte, digest [sha256.Size]byte) (*statev1.RetainedTurn, error) {
	if sha256.Sum256(object) != digest {
		return nil, merry.Errorf("turn %q doesn't match its digest", id)
	}
	plain, err := c.decoder.DecodeAll(object, nil)
	if err != nil {
		return nil, merry.Prependf(err, "decompressing turn %q", id)
	}
	whole := &statev1.RetainedTurn{}
	if err := proto.Unmarshal(plain, whole); err != nil {
		return nil, merry.Prependf(err, "decoding turn %q", id)
	}
	if whole.GetId() != id {
		return nil, merry.Errorf("the object of turn %q is that of %q", id, whole.GetId())
	}
	return whole, nil
}
