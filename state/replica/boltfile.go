package replica

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"

	"github.com/ansel1/merry/v2"
)

// The file format of bbolt, as far as it is needed to walk a file whose every
// byte may be wrong. bbolt itself follows page numbers without bounds, which
// on a damaged file ends in a fault or an endless recursion, and falls back to
// the meta page before the last where the last is damaged, which would serve
// an old state. Source: the types Page, Meta and InBucket of go.etcd.io/bbolt
// version 1.5, format version 2.
const (
	// Every meta page has these.
	boltMagic   = 0xED0CDAED
	boltVersion = 2
	// Sizes in bytes: of the head of a page, of the content of a meta page, of the entry
	// of a page's table of elements, and of the head of a bucket.
	boltPageHeader   = 16
	boltMetaBytes    = 64
	boltElementBytes = 16
	boltBucketHeader = 16
	// Types of pages.
	boltBranchPage = 0x01
	boltLeafPage   = 0x02
	boltMetaPage   = 0x04
	// boltBucketEntry is the flag of an element whose value is a bucket.
	boltBucketEntry = 0x01
	// Page sizes in bytes that are accepted; bbolt uses that of the operating system.
	boltMinPageBytes = 512
	boltMaxPageBytes = 1 << 16
	// boltMetaPages is how many pages at the beginning of the file are meta pages.
	boltMetaPages = 2
	// boltNoFreelistPage stands in a meta page for a list of free pages that isn't stored.
	boltNoFreelistPage = ^uint64(0)
)

// boltFile walks the entries of a bbolt file.
type boltFile struct {
	source    io.ReaderAt
	size      uint64
	pageBytes uint64
	root      uint64
	// pages is the number of pages in use; a larger page number is wrong.
	pages uint64
	// reached holds the pages that the walk has come to. Each may be reached once.
	reached map[uint64]bool
}

// boltMeta is what the walk needs of a meta page. Numbers are those of pages.
type boltMeta struct {
	pageBytes, root, freelist, pages, transaction uint64
}

// openBoltFile reads the meta pages of the file; size is in bytes.
func openBoltFile(source io.ReaderAt, size int64) (*boltFile, error) {
	if size < boltMetaPages*boltMinPageBytes {
		return nil, corruptf("the file has only %d bytes", size)
	}
	file := &boltFile{source: source, size: uint64(size), reached: make(map[uint64]bool)}
	first, err := file.readMeta(0)
	if err != nil {
		return nil, err
	}
	second, err := file.readMeta(first.pageBytes)
	if err != nil {
		return nil, err
	}
	return file, file.useNewest(first, second)
}

// useNewest takes root and size of the newer meta page. It demands that the two are of
// successive transactions: a torn write of a meta page can't be told from damage to a
// newer one, so that it counts as damage too.
func (f *boltFile) useNewest(first, second boltMeta) error {
	newest, older := first, second
	if second.transaction > first.transaction {
		newest, older = second, first
	}
	if newest.transaction != older.transaction+1 || first.pageBytes != second.pageBytes {
		return corruptf("the meta pages are of transactions %d and %d", first.transaction, second.transaction)
	}
	if newest.freelist != boltNoFreelistPage {
		return corruptf("the file has a list of free pages")
	}
	if newest.pages > f.size/newest.pageBytes {
		return corruptf("the file has %d bytes, %d pages are in use", f.size, newest.pages)
	}
	f.pageBytes, f.root, f.pages = newest.pageBytes, newest.root, newest.pages
	return nil
}

// readMeta reads the meta page at the offset in bytes and checks that it is whole.
func (f *boltFile) readMeta(offset uint64) (boltMeta, error) {
	raw, err := f.read(offset, boltPageHeader+boltMetaBytes)
	if err != nil {
		return boltMeta{}, err
	}
	fields := raw[boltPageHeader:]
	sum := fnv.New64a()
	_, _ = sum.Write(fields[:boltMetaBytes-8])
	whole := binary.NativeEndian.Uint16(raw[8:]) == boltMetaPage &&
		binary.NativeEndian.Uint32(fields) == boltMagic &&
		binary.NativeEndian.Uint32(fields[4:]) == boltVersion &&
		binary.NativeEndian.Uint64(fields[boltMetaBytes-8:]) == sum.Sum64()
	meta := boltMeta{
		pageBytes:   uint64(binary.NativeEndian.Uint32(fields[8:])),
		root:        binary.NativeEndian.Uint64(fields[16:]),
		freelist:    binary.NativeEndian.Uint64(fields[32:]),
		pages:       binary.NativeEndian.Uint64(fields[40:]),
		transaction: binary.NativeEndian.Uint64(fields[48:]),
	}
	if !whole || meta.pageBytes < boltMinPageBytes || meta.pageBytes > boltMaxPageBytes {
		return boltMeta{}, corruptf("the meta page at byte %d", offset)
	}
	return meta, nil
}

// each visits the entries of the named top-level bucket. Keys and values are
// only valid during the visit.
func (f *boltFile) each(bucket []byte, visit func(key, value []byte) error) error {
	found := 0
	err := f.eachInPage(f.root, keyRange{}, func(element boltElement) error {
		if element.flags != boltBucketEntry || !bytes.Equal(element.key, bucket) {
			return corruptf("unexpected bucket %q", element.key)
		}
		found++
		return f.eachInBucket(element.value, visit)
	})
	if err != nil {
		return err
	}
	if found != 1 {
		return corruptf("%d buckets %q", found, bucket)
	}
	return nil
}

// eachInBucket visits the entries of the bucket whose value is given: the number of its
// root page, or zero and the page itself.
func (f *boltFile) eachInBucket(value []byte, visit func(key, value []byte) error) error {
	if len(value) < boltBucketHeader {
		return corruptf("a bucket of %d bytes", len(value))
	}
	onEntry := func(element boltElement) error {
		if element.flags != 0 {
			return corruptf("a bucket inside the bucket")
		}
		return visit(element.key, element.value)
	}
	root := binary.NativeEndian.Uint64(value)
	if root != 0 {
		return f.eachInPage(root, keyRange{}, onEntry)
	}
	page, err := parseBoltPage(value[boltBucketHeader:])
	if err != nil {
		return err
	}
	if page.flags != boltLeafPage {
		return corruptf("an inline bucket without a leaf page")
	}
	return eachElement(page, keyRange{}, onEntry)
}

// eachInPage visits the elements of the leaves below the page. All keys must lie within
// the limits, which are those of the branch above.
func (f *boltFile) eachInPage(number uint64, limits keyRange, visit func(boltElement) error) error {
	page, err := f.readPage(number)
	if err != nil {
		return err
	}
	if page.flags == boltLeafPage {
		return eachElement(page, limits, visit)
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
		if err := f.eachInPage(child.child, below, visit); err != nil {
			return err
		}
	}
	return nil
}

// readPage reads a tree page with its overflow pages. Each page may be reached
// once, so the walk ends on every file.
func (f *boltFile) readPage(number uint64) (boltPage, error) {
	if number < boltMetaPages || number >= f.pages || f.reached[number] {
		return boltPage{}, corruptf("page %d of %d is out of range or used twice", number, f.pages)
	}
	raw, err := f.read(number*f.pageBytes, boltPageHeader)
	if err != nil {
		return boltPage{}, err
	}
	overflow := uint64(binary.NativeEndian.Uint32(raw[12:]))
	if binary.NativeEndian.Uint64(raw) != number || overflow >= f.pages-number {
		return boltPage{}, corruptf("the head of page %d", number)
	}
	for part := number; part <= number+overflow; part++ {
		if f.reached[part] {
			return boltPage{}, corruptf("page %d is used twice", part)
		}
		f.reached[part] = true
	}
	raw, err = f.read(number*f.pageBytes, (1+overflow)*f.pageBytes)
	if err != nil {
		return boltPage{}, err
	}
	return parseBoltPage(raw)
}

// read returns so many bytes at the offset.
func (f *boltFile) read(offset, length uint64) ([]byte, error) {
	if offset+length > f.size {
		return nil, corruptf("the file ends at byte %d, %d are needed", f.size, offset+length)
	}
	buffer := make([]byte, length)
	if _, err := f.source.ReadAt(buffer, int64(offset)); err != nil {
		return nil, merry.Prependf(err, "read %d bytes at %d", length, offset)
	}
	return buffer, nil
}

// corruptf returns ErrCorrupt with the message.
func corruptf(format string, arguments ...any) error {
	return merry.Errorf("%w: %s", ErrCorrupt, fmt.Sprintf(format, arguments...))
}
