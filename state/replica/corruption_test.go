package replica

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// writeSample fills a data folder with entries of every kind, some larger than a page. It
// returns the contents and the incarnation.
func writeSample(t *testing.T, folder string) ([]string, string) {
	t.Helper()
	disk := openTestDisk(t, folder)
	for shard := range uint32(testShards) {
		for index, name := range testNames {
			ballot := Ballot{Counter: uint64(index + 1), Proposer: "node/1"}
			value := bytes.Repeat([]byte(name), 400)
			assert.NilError(t, disk.SaveRegister(shard, name, Register{Promised: ballot, Accepted: ballot, Value: value}))
			assert.NilError(t, disk.SaveMeta(shard, name, []byte("meta")))
			assert.NilError(t, disk.PutTurn(shard, Turn{Program: name, Sequence: 2, Object: bytes.Repeat(value, 3)}))
		}
	}
	want, err := readAll(disk)
	assert.NilError(t, err)
	assert.NilError(t, disk.Close())
	return want, disk.Incarnation()
}

// assertCorrectOrEmpty opens a folder whose file may be corrupt. The store must either
// serve exactly what was written, under the same incarnation, or be empty under a new one
// and report the path of the renamed file. It returns whether the data was served.
func assertCorrectOrEmpty(t assert.TestingT, folder string, want []string, incarnation string) bool {
	disk, err := OpenDisk(folder)
	assert.NilError(t, err)
	defer disk.Close()
	got, err := readAll(disk)
	assert.NilError(t, err)
	if disk.Corruption() == nil {
		assert.Equal(t, disk.Incarnation(), incarnation)
		assert.DeepEqual(t, got, want)
		return true
	}
	assert.ErrorIs(t, disk.Corruption(), ErrCorrupt)
	assert.Assert(t, strings.Contains(disk.Corruption().Error(), "replica.db.corrupt-1"), disk.Corruption())
	assert.Assert(t, disk.Incarnation() != incarnation)
	assert.Assert(t, !strings.Contains(strings.Join(got, "\n"), "each"), "%v", got)
	_, err = os.Stat(filepath.Join(folder, "replica.db.corrupt-1"))
	assert.NilError(t, err)
	return false
}

// TestCorruptFileIsNeverServed flips bits at random positions and truncates the file.
func TestCorruptFileIsNeverServed(t *testing.T) {
	sample := t.TempDir()
	want, incarnation := writeSample(t, sample)
	content, err := os.ReadFile(filepath.Join(sample, dataFileName))
	assert.NilError(t, err)
	rapid.Check(t, func(rt *rapid.T) {
		damaged := bytes.Clone(content)
		for range rapid.IntRange(1, 3).Draw(rt, "flips") {
			position := rapid.IntRange(0, len(damaged)-1).Draw(rt, "position")
			damaged[position] ^= rapid.ByteRange(1, 255).Draw(rt, "bits")
		}
		if rapid.IntRange(0, 3).Draw(rt, "cut") == 0 {
			damaged = damaged[:rapid.IntRange(0, len(damaged)).Draw(rt, "length")]
		}
		folder, err := os.MkdirTemp(sample, "damaged")
		assert.NilError(rt, err)
		assert.NilError(rt, os.WriteFile(filepath.Join(folder, dataFileName), damaged, fileMode))
		assertCorrectOrEmpty(rt, folder, want, incarnation)
	})
}

// TestCorruptPageStructure changes each byte at the start of each page: the page header,
// the meta fields and the first elements. bbolt has no checksums for most of these.
func TestCorruptPageStructure(t *testing.T) {
	sample := t.TempDir()
	writeSample(t, sample)
	content, err := os.ReadFile(filepath.Join(sample, dataFileName))
	assert.NilError(t, err)
	want, err := verifiedEntries(content)
	assert.NilError(t, err)
	pageBytes := int(binary.NativeEndian.Uint32(content[boltPageHeaderBytes+8:]))
	detected := 0
	for page := 0; page*pageBytes < len(content); page++ {
		for offset := range boltPageHeaderBytes + boltMetaBytes {
			damaged := bytes.Clone(content)
			damaged[page*pageBytes+offset] ^= 0x11
			got, err := verifiedEntries(damaged)
			if err == nil {
				assert.Equal(t, got, want, "page %d offset %d", page, offset)
				continue
			}
			assert.ErrorIs(t, err, ErrCorrupt)
			detected++
		}
	}
	assert.Assert(t, detected >= 2*boltMetaBytes, "only %d changes were detected", detected)
}

func verifiedEntries(raw []byte) (string, error) {
	var all strings.Builder
	_, err := verifyData(bytes.NewReader(raw), int64(len(raw)), func(key, payload []byte) error {
		fmt.Fprintf(&all, "%q %x\n", key, xxhash.Sum64(payload))
		return nil
	})
	return all.String(), err
}

// TestMissingEntryIsDetected removes an entry from a valid file, which the checksums of
// the other entries can't detect.
func TestMissingEntryIsDetected(t *testing.T) {
	folder := t.TempDir()
	_, incarnation := writeSample(t, folder)
	database, err := bbolt.Open(filepath.Join(folder, dataFileName), fileMode, &bbolt.Options{NoFreelistSync: true})
	assert.NilError(t, err)
	assert.NilError(t, database.Update(func(transaction *bbolt.Tx) error {
		return transaction.Bucket(dataBucket).Delete(registerKey(1, "a"))
	}))
	assert.NilError(t, database.Close())
	assert.Assert(t, !assertCorrectOrEmpty(t, folder, nil, incarnation))
}

// TestUnsupportedFormatIsLeftUnchanged checks that a file of a newer format version is
// neither renamed nor modified.
func TestUnsupportedFormatIsLeftUnchanged(t *testing.T) {
	folder := t.TempDir()
	writeSample(t, folder)
	path := filepath.Join(folder, dataFileName)
	database, err := bbolt.Open(path, fileMode, &bbolt.Options{NoFreelistSync: true})
	assert.NilError(t, err)
	assert.NilError(t, database.Update(func(transaction *bbolt.Tx) error {
		newer := header{format: FormatVersion + 1, incarnation: "x"}
		return transaction.Bucket(dataBucket).Put(headerKey(), encodeEntry(headerKey(), newer.encode()))
	}))
	assert.NilError(t, database.Close())
	before, err := os.ReadFile(path)
	assert.NilError(t, err)
	_, err = OpenDisk(folder)
	assert.ErrorIs(t, err, ErrUnsupportedFormat)
	after, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(before, after))
}

func TestLockedFolderIsRefused(t *testing.T) {
	folder := t.TempDir()
	openTestDisk(t, folder)
	_, err := OpenDisk(folder)
	assert.ErrorIs(t, err, ErrLocked)
}
