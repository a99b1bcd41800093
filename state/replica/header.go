package replica

import (
	"encoding/binary"

	"github.com/ansel1/merry/v2"
)

// FormatVersion is the supported version of the data file format.
const FormatVersion uint32 = 1

// ErrUnsupportedFormat is returned for a data file of another format version. The file is
// left unchanged.
var ErrUnsupportedFormat = merry.Sentinel("unsupported format version of replica data file")

// header is the entry that describes the file. It is written with every transaction.
type header struct {
	format      uint32
	incarnation string
	// entryCount and digest cover all other entries. They detect a missing, stale or
	// duplicate entry, which the checksums of single entries can't show.
	entryCount uint64
	digest     uint64
}

// headerFixedBytes is the size in bytes of format, entry count and digest.
const headerFixedBytes = 4 + 8 + 8

func headerKey() []byte { return []byte{kindHeader} }

func (h header) encode() []byte {
	encoded := binary.BigEndian.AppendUint32(nil, h.format)
	encoded = binary.BigEndian.AppendUint64(encoded, h.entryCount)
	encoded = binary.BigEndian.AppendUint64(encoded, h.digest)
	return append(encoded, h.incarnation...)
}

func decodeHeader(payload []byte) (header, error) {
	if len(payload) < 4 {
		return header{}, merry.Errorf("%w: header has %d bytes", ErrCorrupt, len(payload))
	}
	format := binary.BigEndian.Uint32(payload)
	if format != FormatVersion {
		return header{}, merry.Errorf("%w: got %d, want %d", ErrUnsupportedFormat, format, FormatVersion)
	}
	if len(payload) <= headerFixedBytes {
		return header{}, merry.Errorf("%w: header has %d bytes", ErrCorrupt, len(payload))
	}
	return header{
		format:      format,
		entryCount:  binary.BigEndian.Uint64(payload[4:]),
		digest:      binary.BigEndian.Uint64(payload[12:]),
		incarnation: string(payload[headerFixedBytes:]),
	}, nil
}

// add adds an entry to count and digest. The digest is a sum of checksums, so it doesn't
// depend on the order of the changes.
func (h *header) add(value []byte) {
	h.entryCount++
	h.digest += storedChecksum(value)
}

// remove subtracts an entry that was counted by add.
func (h *header) remove(value []byte) {
	h.entryCount--
	h.digest -= storedChecksum(value)
}
