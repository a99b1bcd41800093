package replica

import (
	"encoding/binary"

	"github.com/ansel1/merry/v2"
)

// FormatVersion is the version of the data file's format that this program
// writes.
const FormatVersion uint32 = 1

// ErrFormat is returned for a data file that another version of the program
// wrote; the file is left as it is.
var ErrFormat = merry.Sentinel("replica data file has another format version")

// header is the store's own entry. It is written with every transaction.
type header struct {
	format      uint32
	incarnation string
	// entries and digest cover all other entries: an entry that is missing,
	// stale or doubled shows, although each one that is there verifies.
	entries uint64
	digest  uint64
}

// headerFixedBytes is the size of the header's numbers: format, entries and digest.
const headerFixedBytes = 4 + 8 + 8

func headerKey() []byte { return []byte{kindHeader} }

func (h header) encode() []byte {
	encoded := binary.BigEndian.AppendUint32(nil, h.format)
	encoded = binary.BigEndian.AppendUint64(encoded, h.entries)
	encoded = binary.BigEndian.AppendUint64(encoded, h.digest)
	return append(encoded, h.incarnation...)
}

func decodeHeader(payload []byte) (header, error) {
	if len(payload) < 4 {
		return header{}, merry.Errorf("%w: header has %d bytes", ErrCorrupt, len(payload))
	}
	format := binary.BigEndian.Uint32(payload)
	if format != FormatVersion {
		return header{}, merry.Errorf("%w: %d, this program writes %d", ErrFormat, format, FormatVersion)
	}
	if len(payload) <= headerFixedBytes {
		return header{}, merry.Errorf("%w: header has %d bytes", ErrCorrupt, len(payload))
	}
	return header{
		format:      format,
		entries:     binary.BigEndian.Uint64(payload[4:]),
		digest:      binary.BigEndian.Uint64(payload[12:]),
		incarnation: string(payload[headerFixedBytes:]),
	}, nil
}

// add counts an entry. The digest is a sum, so that it doesn't depend on the
// order of the changes.
func (h *header) add(sealed []byte) {
	h.entries++
	h.digest += storedChecksum(sealed)
}

// remove takes back an entry that was counted by add.
func (h *header) remove(sealed []byte) {
	h.entries--
	h.digest -= storedChecksum(sealed)
}
