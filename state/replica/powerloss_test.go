package replica

import (
	"bytes"
	"encoding/binary"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// metaChecksumBytes is the size of the checksum at the end of a meta page's content.
	metaChecksumBytes = 8
	// transactionFieldEnd is the offset in a meta page after the field with the transaction ID.
	transactionFieldEnd = boltPageHeaderBytes + boltMetaBytes - metaChecksumBytes
)

// TestPowerLossWithinCommitKeepsData guards against a replica that forgets all its data since
// power was lost while the meta page of a commit, not yet synced, was being written. Each
// prefix of the page may be on the disk, but for those that end within the last bytes of the
// transaction ID or the checksum, after which the page can't be told from a damaged one.
func TestPowerLossWithinCommitKeepsData(t *testing.T) {
	sample := t.TempDir()
	writeSample(t, sample)
	// Consecutive commits write different meta pages.
	for sequence := range uint64(2) {
		checkPowerLoss(t, sample, Turn{Program: "a", Sequence: 3 + sequence, Object: bytes.Repeat([]byte("each"), 10_000)})
	}
}

// checkPowerLoss stores the turn in the folder, and opens each state that a loss of power while
// the meta page was being written may leave.
func checkPowerLoss(t *testing.T, sample string, stored Turn) {
	t.Helper()
	path := filepath.Join(sample, dataFileName)
	older, err := os.ReadFile(path)
	assert.NilError(t, err)
	disk := openTestDisk(t, sample)
	incarnation := disk.Incarnation()
	before, err := readAll(disk)
	assert.NilError(t, err)
	assert.NilError(t, disk.PutTurn(0, stored))
	after, err := readAll(disk)
	assert.NilError(t, err)
	assert.NilError(t, disk.Close())
	newer, err := os.ReadFile(path)
	assert.NilError(t, err)

	start, pageBytes := metaPageOfNewest(newer)
	old, written := older[start:start+pageBytes], newer[start:start+pageBytes]
	states := 0
	for size := range transactionFieldEnd + metaChecksumBytes + 1 {
		isRecognized := size <= transactionFieldEnd-8 || size == transactionFieldEnd+metaChecksumBytes
		isSameAsBefore := size > 0 && old[size-1] == written[size-1] && size != transactionFieldEnd+metaChecksumBytes
		if !isRecognized || isSameAsBefore {
			continue
		}
		states++
		torn := bytes.Clone(newer)
		copy(torn[start+size:start+pageBytes], old[size:])
		folder := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(folder, dataFileName), torn, fileMode))
		want := before
		if size >= transactionFieldEnd {
			want = after
		}
		assertKept(t, folder, want, incarnation)
		// The next commit must be readable, too.
		opened := openTestDisk(t, folder)
		assert.NilError(t, opened.PutTurn(0, stored))
		assert.NilError(t, opened.Close())
		assertKept(t, folder, after, incarnation)
	}
	assert.Assert(t, states >= 3, "only %d states differ", states)
}

// assertKept opens a folder, whose data must be served under the same incarnation.
func assertKept(t *testing.T, folder string, want []string, incarnation string) {
	t.Helper()
	disk := openTestDisk(t, folder)
	assert.NilError(t, disk.Corruption())
	assert.Equal(t, disk.Incarnation(), incarnation)
	got, err := readAll(disk)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	assert.NilError(t, disk.Close())
}

// metaPageOfNewest returns the offset of the meta page of the newest transaction, and its size.
func metaPageOfNewest(content []byte) (start, pageBytes int) {
	pageBytes = int(binary.NativeEndian.Uint32(content[boltPageHeaderBytes+8:]))
	first := binary.NativeEndian.Uint64(content[transactionFieldEnd-8:])
	second := binary.NativeEndian.Uint64(content[pageBytes+transactionFieldEnd-8:])
	if second > first {
		return pageBytes, pageBytes
	}
	return 0, pageBytes
}

// TestDamagedNewestTransactionIsCorrupt guards against serving the transaction before the
// last one, which was acknowledged, since its meta page looks like one that was being written.
func TestDamagedNewestTransactionIsCorrupt(t *testing.T) {
	sample := t.TempDir()
	want, incarnation := writeSample(t, sample)
	content, err := os.ReadFile(filepath.Join(sample, dataFileName))
	assert.NilError(t, err)
	start, _ := metaPageOfNewest(content)
	field := content[start+transactionFieldEnd-8 : start+transactionFieldEnd]
	binary.NativeEndian.PutUint64(field, binary.NativeEndian.Uint64(field)-2)
	folder := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, dataFileName), content, fileMode))
	assert.Assert(t, !assertCorrectOrEmpty(t, folder, want, incarnation))
}
