package tokenbudget

import (
	"fmt"
	"strings"
)

// A record names its holders "node/incarnation#account". A node has a new incarnation after
// each start. It opens an account for each program whose turns it admits, and a new one
// after the last was released.
const (
	incarnationSeparator = "/"
	accountSeparator     = "#"
)

// holderName returns the name under which a record keeps the ledger's account with the
// number.
func holderName(ledgerHolder string, number uint64) string {
	return fmt.Sprintf("%s%s%d", ledgerHolder, accountSeparator, number)
}

// isEarlierIncarnation reports whether the holder is an account of this node from before its
// last start.
func (l *Ledger) isEarlierIncarnation(holder string) bool {
	node, isNamed := nodeOf(l.holder)
	otherNode, _ := nodeOf(holder)
	return isNamed && node == otherNode && !strings.HasPrefix(holder, l.holder+accountSeparator)
}

// nodeOf returns the node part of a holder's name.
func nodeOf(holder string) (node string, isNamed bool) {
	end := strings.LastIndex(holder, incarnationSeparator)
	if end < 0 {
		return "", false
	}
	return holder[:end], true
}
