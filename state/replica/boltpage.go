package replica

import (
	"bytes"
	"encoding/binary"
)

// boltPage is a leaf or branch page with its overflow pages.
type boltPage struct {
	flags, count uint16
	body         []byte
}

// boltElement is an entry of a leaf page, which has a value, or of a branch page, which
// has a child page.
type boltElement struct {
	flags uint32
	// childPage is the page number of the child.
	childPage  uint64
	key, value []byte
}

// parseBoltPage parses and validates the header of a leaf or branch page.
func parseBoltPage(raw []byte) (boltPage, error) {
	if len(raw) < boltPageHeaderBytes {
		return boltPage{}, corruptf("page has only %d bytes", len(raw))
	}
	page := boltPage{
		flags: binary.NativeEndian.Uint16(raw[8:]),
		count: binary.NativeEndian.Uint16(raw[10:]),
		body:  raw[boltPageHeaderBytes:],
	}
	if page.flags != boltLeafPage && page.flags != boltBranchPage {
		return boltPage{}, corruptf("unexpected page type %#x", page.flags)
	}
	if int(page.count)*boltElementBytes > len(page.body) {
		return boltPage{}, corruptf("page of %d bytes is too short for %d elements", len(raw), page.count)
	}
	return page, nil
}

// keyRange is a range of keys that includes from and excludes to. A nil bound is
// unlimited.
type keyRange struct{ from, to []byte }

func (r keyRange) contains(key []byte) bool {
	return bytes.Compare(key, r.from) >= 0 && (r.to == nil || bytes.Compare(key, r.to) < 0)
}

// eachPageElement visits the elements of one page. It requires ascending keys within
// limits, since a lookup by bbolt could miss a key that is out of order.
func eachPageElement(page boltPage, limits keyRange, visit func(boltElement) error) error {
	var previous []byte
	for index := 0; index < int(page.count); index++ {
		element, err := page.element(index)
		if err != nil {
			return err
		}
		ascending := index == 0 || bytes.Compare(previous, element.key) < 0
		if !ascending || !limits.contains(element.key) {
			return corruptf("key %q is out of order or out of its page's key range", element.key)
		}
		previous = element.key
		if err := visit(element); err != nil {
			return err
		}
	}
	return nil
}

// element returns the element at index. Its key and value must lie within the page.
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
		element.childPage = binary.NativeEndian.Uint64(raw[8:])
	}
	from := uint64(start) + position
	if from+keyBytes+valueBytes > uint64(len(p.body)) {
		return boltElement{}, corruptf("element %d extends beyond its page", index)
	}
	element.key = p.body[from : from+keyBytes]
	element.value = p.body[from+keyBytes : from+keyBytes+valueBytes]
	return element, nil
}

// children returns the elements of a branch page, whose keys must lie within limits.
func (p boltPage) children(limits keyRange) ([]boltElement, error) {
	var children []boltElement
	err := eachPageElement(p, limits, func(element boltElement) error {
		children = append(children, element)
		return nil
	})
	return children, err
}
