package replica

import (
	"bytes"
	"encoding/binary"
)

// boltPage is a tree page with its overflow pages.
type boltPage struct {
	flags, count uint16
	body         []byte
}

// boltElement is an entry of a leaf page, or of a branch page, which has a child in place
// of a value.
type boltElement struct {
	flags uint32
	// child is the number of the page below.
	child      uint64
	key, value []byte
}

// parseBoltPage checks the head of a leaf or branch page.
func parseBoltPage(raw []byte) (boltPage, error) {
	if len(raw) < boltPageHeader {
		return boltPage{}, corruptf("a page of %d bytes", len(raw))
	}
	page := boltPage{
		flags: binary.NativeEndian.Uint16(raw[8:]),
		count: binary.NativeEndian.Uint16(raw[10:]),
		body:  raw[boltPageHeader:],
	}
	if page.flags != boltLeafPage && page.flags != boltBranchPage {
		return boltPage{}, corruptf("a page of type %#x", page.flags)
	}
	if int(page.count)*boltElementBytes > len(page.body) {
		return boltPage{}, corruptf("a page with %d elements", page.count)
	}
	return page, nil
}

// keyRange is the keys at or after from and before to. Nil is no limit.
type keyRange struct{ from, to []byte }

func (r keyRange) holds(key []byte) bool {
	return bytes.Compare(key, r.from) >= 0 && (r.to == nil || bytes.Compare(key, r.to) < 0)
}

// eachElement visits the elements of one page. It demands ascending keys within the
// limits, since a lookup by bbolt could miss a key that is out of order.
func eachElement(page boltPage, limits keyRange, visit func(boltElement) error) error {
	var previous []byte
	for index := 0; index < int(page.count); index++ {
		element, err := page.element(index)
		if err != nil {
			return err
		}
		ascending := index == 0 || bytes.Compare(previous, element.key) < 0
		if !ascending || !limits.holds(element.key) {
			return corruptf("key %q is out of order", element.key)
		}
		previous = element.key
		if err := visit(element); err != nil {
			return err
		}
	}
	return nil
}

// element returns the element with the index, whose key and value must lie in the page.
func (p boltPage) element(index int) (boltElement, error) {
	start := index * boltElementBytes
	raw := p.body[start : start+boltElementBytes]
	var element boltElement
	var position, keyBytes, valueBytes uint64
	if p.flags == boltLeafPage {
		element.flags = binary.NativeEndian.Uint32(raw)
		position = uint64(binary.NativeEndian.Uint32(raw[4:]))
		keyBytes = uint64(binary.NativeEndian.Uint32(raw[8:]))
		valueBytes = uint64(binary.NativeEndian.Uint32(raw[12:]))
	} else {
		position = uint64(binary.NativeEndian.Uint32(raw))
		keyBytes = uint64(binary.NativeEndian.Uint32(raw[4:]))
		element.child = binary.NativeEndian.Uint64(raw[8:])
	}
	from := uint64(start) + position
	if from+keyBytes+valueBytes > uint64(len(p.body)) {
		return boltElement{}, corruptf("element %d points out of its page", index)
	}
	element.key = p.body[from : from+keyBytes]
	element.value = p.body[from+keyBytes : from+keyBytes+valueBytes]
	return element, nil
}

// children returns the elements of a branch page.
func (p boltPage) children(limits keyRange) ([]boltElement, error) {
	var children []boltElement
	err := eachElement(p, limits, func(element boltElement) error {
		children = append(children, element)
		return nil
	})
	return children, err
}
