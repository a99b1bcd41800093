package expiry

import (
	"fmt"
	"strings"
	"time"
)

// maxLoggedTurns limits the turns that one log line names.
const maxLoggedTurns = 32

// deletedTurn is a turn that was deleted.
type deletedTurn struct {
	storedTurn
	// overdue is the time for which neither the turn nor a descendant needed it.
	overdue time.Duration
}

// loggedTurns formats deleted turns for a log line.
type loggedTurns []deletedTurn

// String returns each turn with the time for which it wasn't needed.
func (l loggedTurns) String() string {
	var text strings.Builder
	for index, turn := range l {
		if index == maxLoggedTurns {
			fmt.Fprintf(&text, " and %d more", len(l)-index)
			break
		}
		if index > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%s:%s", turn.id, turn.overdue.Round(time.Millisecond))
	}
	return text.String()
}
