package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the size of a fingerprint, large enough that requests don't collide.
const fingerprintBytes = 16

// Fingerprint identifies a request over all tries of its client, which have different
// request ids. It doesn't disclose what it was made of.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request with the parts. The same parts in
// another order, or split at other places, have another fingerprint.
func FingerprintOf(parts ...[]byte) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return Fingerprint(hash.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
