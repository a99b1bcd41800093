package replica

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"

	"github.com/ansel1/merry/v2"
)

// The subset of the bbolt file format that is needed to validate an untrusted file.
// bbolt itself can't be used for this: it follows page numbers without bounds checks,
// which on a corrupt file causes a fault or infinite recursion, and it falls back to the
// older meta page if the newer one is corrupt, which would serve stale data. Source: the
// types Page, Meta and InBucket of go.etcd.io/bbolt version 1.5, format version 2.
const (
	// Magic number and version of every meta page.
	boltMagic   = 0xED0CDAED
	boltVersion = 2
	// Sizes in bytes of a page header, the content of a meta page, an entry of a page's
	// element table and a bucket header.
	boltPageHeaderBytes   = 16
	boltMetaBytes         = 64
	boltElementBytes      = 16
	boltBucketHeaderBytes = 16
	// Offsets in bytes of fields in the content of a meta page.
	boltMetaTransactionID = 48
	boltMetaChecksum      = 56
	// Page types.
	boltBranchPage = 0x01
	boltLeafPage   = 0x02
	boltMetaPage   = 0x04
	// boltBucketFlag marks an element whose value is a bucket.
	boltBucketFlag = 0x01
	// Accepted page sizes in bytes; bbolt uses the page size of the operating system.
	boltMinPageBytes = 512
	boltMaxPageBytes = 1 << 16
	// boltMetaPageCount is the number of meta pages at the start of the file.
	boltMetaPageCount = 2
	// boltNoFreelist is the freelist page number of a file that stores no freelist.
	boltNoFreelist = ^uint64(0)
)

// boltFile validates a bbolt file and iterates over its entries.
type boltFile struct {
	source    io.ReaderAt
	size      uint64
	pageBytes uint64
	rootPage  uint64
	// pageCount is the number of pages in use, an exclusive limit for page numbers.
	pageCount uint64
	// visited holds the pages that were already read. No page may be referenced twice.
	visited map[uint64]bool
}

// boltMeta holds the fields of a meta page that are needed to read the file. rootPage and
// freelistPage are page numbers.
type boltMeta struct {
	pageBytes, rootPage, freelistPage, pageCount, transactionID uint64
	// isValid is set if the checksum matches.
	isValid bool
	// isOtherValid reports whether the checksum matches with another transaction ID.
	isOtherValid func(transactionID uint64) bool
}

// openBoltFile reads and validates the meta pages of a file of size bytes.
func openBoltFile(source io.ReaderAt, size int64) (*boltFile, error) {
	if size < boltMetaPageCount*boltMinPageBytes {
		return nil, corruptf("file has only %d bytes", size)
	}
	file := &boltFile{source: source, size: uint64(size), visited: make(map[uint64]bool)}
	first, err := file.readMeta(0)
	if err != nil {
		return nil, err
	}
	second, err := file.readMeta(first.pageBytes)
	if err != nil {
		return nil, err
	}
	return file, file.selectMeta(first, second)
}

// selectMeta uses the newer meta page. It requires the two to be of consecutive
// transactions, or the other one to be an incomplete write of the next transaction.
func (f *boltFile) selectMeta(first, second boltMeta) error {
	newest, other := first, second
	if !first.isValid || second.isValid && second.transactionID > first.transactionID {
		newest, other = second, first
	}
	isConsecutive := newest.transactionID == other.transactionID+1 && (other.isValid || newest.isInterrupted(other))
	if !newest.isValid || !isConsecutive || first.pageBytes != second.pageBytes {
		return corruptf("meta pages don't match: transactions %d and %d, valid %t and %t, page sizes %d and %d", first.transactionID,
			second.transactionID, first.isValid, second.isValid, first.pageBytes, second.pageBytes)
	}
	if newest.freelistPage != boltNoFreelist {
		return corruptf("unexpected freelist at page %d", newest.freelistPage)
	}
	if newest.pageCount > f.size/newest.pageBytes {
		return corruptf("file of %d bytes is too short for %d pages of %d bytes", f.size, newest.pageCount, newest.pageBytes)
	}
	f.pageBytes, f.rootPage, f.pageCount = newest.pageBytes, newest.rootPage, newest.pageCount
	return nil
}

// isInterrupted reports whether the invalid page, which has the ID of the transaction before
// this one, was being overwritten by the transaction after this one when power was lost. That
// one was never acknowledged. A complete page of it whose ID alone is damaged is no such
// page. A write that was interrupted within the ID or the checksum isn't recognized: it can't
// be distinguished from damage to a transaction that was acknowledged.
func (m boltMeta) isInterrupted(invalid boltMeta) bool {
	return !invalid.isOtherValid(m.transactionID + 1)
}

// readMeta reads the meta page at the byte offset. It returns an error if a field that is
// the same in all transactions is invalid.
func (f *boltFile) readMeta(offset uint64) (boltMeta, error) {
	raw, err := f.read(offset, boltPageHeaderBytes+boltMetaBytes)
	if err != nil {
		return boltMeta{}, err
	}
	fields := raw[boltPageHeaderBytes:]
	checksum := binary.NativeEndian.Uint64(fields[boltMetaChecksum:])
	meta := boltMeta{
		pageBytes:     uint64(binary.NativeEndian.Uint32(fields[8:])),
		rootPage:      binary.NativeEndian.Uint64(fields[16:]),
		freelistPage:  binary.NativeEndian.Uint64(fields[32:]),
		pageCount:     binary.NativeEndian.Uint64(fields[40:]),
		transactionID: binary.NativeEndian.Uint64(fields[boltMetaTransactionID:]),
		isValid:       metaChecksum(fields) == checksum,
		isOtherValid: func(transactionID uint64) bool {
			changed := bytes.Clone(fields)
			binary.NativeEndian.PutUint64(changed[boltMetaTransactionID:], transactionID)
			return metaChecksum(changed) == checksum
		},
	}
	if binary.NativeEndian.Uint16(raw[8:]) != boltMetaPage || binary.NativeEndian.Uint32(fields) != boltMagic ||
		binary.NativeEndian.Uint32(fields[4:]) != boltVersion ||
		meta.pageBytes < boltMinPageBytes || meta.pageBytes > boltMaxPageBytes {
		return boltMeta{}, corruptf("invalid meta page at offset %d", offset)
	}
	return meta, nil
}

// metaChecksum computes the checksum of the fields of a meta page.
func metaChecksum(fields []byte) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write(fields[:boltMetaChecksum])
	return sum.Sum64()
}

// eachEntry visits the entries of the named bucket, which must be the only one of the
// file. Keys and values are only valid during the visit.
func (f *boltFile) eachEntry(bucket []byte, visit func(key, value []byte) error) error {
	found := 0
	err := f.eachLeafElement(f.rootPage, keyRange{}, func(element boltElement) error {
		if element.flags != boltBucketFlag || !bytes.Equal(element.key, bucket) {
			return corruptf("unexpected bucket %q", element.key)
		}
		found++
		return f.eachBucketEntry(element.value, visit)
	})
	if err != nil {
		return err
	}
	if found != 1 {
		return corruptf("found %d buckets named %q, want 1", found, bucket)
	}
	return nil
}

// eachBucketEntry visits the entries of a bucket. Its value holds the number of its root
// page, or zero followed by an inline page.
func (f *boltFile) eachBucketEntry(value []byte, visit func(key, value []byte) error) error {
	if len(value) < boltBucketHeaderBytes {
		return corruptf("bucket value has only %d bytes", len(value))
	}
	onEntry := func(element boltElement) error {
		if element.flags != 0 {
			return corruptf("unexpected element flags %#x for key %q", element.flags, element.key)
		}
		return visit(element.key, element.value)
	}
	root := binary.NativeEndian.Uint64(value)
	if root != 0 {
		return f.eachLeafElement(root, keyRange{}, onEntry)
	}
	page, err := parseBoltPage(value[boltBucketHeaderBytes:])
	if err != nil {
		return err
	}
	if page.flags != boltLeafPage {
		return corruptf("inline bucket has page type %#x, want a leaf page", page.flags)
	}
	return eachPageElement(page, keyRange{}, onEntry)
}

// eachLeafElement visits the elements of all leaf pages below the page. All keys must lie
// within limits, the key range that the parent page gives.
func (f *boltFile) eachLeafElement(number uint64, limits keyRange, visit func(boltElement) error) error {
	page, err := f.readPage(number)
	if err != nil {
		return err
	}
	if page.flags == boltLeafPage {
		return eachPageElement(page, limits, visit)
	}
	children, err := page.children(limits)
	if err != nil {
		return err
	}
	for index, child := range children {
		below := keyRange{from: child.key, to: limits.to}
		if index+1 < len(children) {
			below.to = children[index+1].key
		}
		if err := f.eachLeafElement(child.childPage, below, visit); err != nil {
			return err
		}
	}
	return nil
}

// readPage reads a tree page with its overflow pages. No page is read twice, so that
// page references that form a cycle can't cause an endless loop.
func (f *boltFile) readPage(number uint64) (boltPage, error) {
	if number < boltMetaPageCount || number >= f.pageCount || f.visited[number] {
		return boltPage{}, corruptf("page %d is out of range (%d pages in use) or referenced twice", number, f.pageCount)
	}
	raw, err := f.read(number*f.pageBytes, boltPageHeaderBytes)
	if err != nil {
		return boltPage{}, err
	}
	overflow := uint64(binary.NativeEndian.Uint32(raw[12:]))
	if binary.NativeEndian.Uint64(raw) != number || overflow >= f.pageCount-number {
		return boltPage{}, corruptf("invalid header of page %d", number)
	}
	for pageNumber := number; pageNumber <= number+overflow; pageNumber++ {
		if f.visited[pageNumber] {
			return boltPage{}, corruptf("page %d is referenced twice", pageNumber)
		}
		f.visited[pageNumber] = true
	}
	raw, err = f.read(number*f.pageBytes, (1+overflow)*f.pageBytes)
	if err != nil {
		return boltPage{}, err
	}
	return parseBoltPage(raw)
}

// read returns length bytes at the offset.
func (f *boltFile) read(offset, length uint64) ([]byte, error) {
	if offset+length > f.size {
		return nil, corruptf("file has %d bytes, at least %d are needed", f.size, offset+length)
	}
	buffer := make([]byte, length)
	if _, err := f.source.ReadAt(buffer, int64(offset)); err != nil {
		return nil, merry.Prependf(err, "read %d bytes at offset %d", length, offset)
	}
	return buffer, nil
}

// corruptf returns an error that wraps ErrCorrupt, with the formatted message.
func corruptf(format string, arguments ...any) error {
	return merry.Errorf("%w: %s", ErrCorrupt, fmt.Sprintf(format, arguments...))
}
