package tokenbudget

import (
	"fmt"
	"strings"
)

// Names of holders in a record: "node/life#account". A node makes a life at each start
// and an account for each program that it draws for, anew after a pause.
const (
	incarnationSeparator    = "/"
	accountSeparator = "#"
)

// holderName names the ledger's account with the number.
func holderName(ledger string, number uint64) string {
	return fmt.Sprintf("%s%s%d", ledger, accountSeparator, number)
}

// isEarlierIncarnation tells that the holder is an account of this node from before its last
// start.
func (l *Ledger) isEarlierIncarnation(holder string) bool {
	node, isNamed := nodeOf(l.holder)
	its, _ := nodeOf(holder)
	return isNamed && node == its && !strings.HasPrefix(holder, l.holder+accountSeparator)
}

// nodeOf returns the node that a holder's name begins with.
func nodeOf(holder string) (node string, isNamed bool) {
	end := strings.LastIndex(holder, incarnationSeparator)
	if end < 0 {
		return "", false
	}
	return holder[:end], true
}
