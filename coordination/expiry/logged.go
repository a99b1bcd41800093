package expiry

import (
	"fmt"
	"strings"
	"time"
)

// maxLoggedTurns limits the turns that one log line names.
const maxLoggedTurns = 32

// deletedTurn is a turn that was deleted, and why.
type deletedTurn struct {
	id string
	// unusedFor is the time since the last use that this replica knows of.
	unusedFor time.Duration
	retention time.Duration
}

// loggedTurns formats deleted turns for a log line.
type loggedTurns []deletedTurn

// String returns each turn with the time for which it was unused and its retention.
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
		fmt.Fprintf(&text, "%s:%s/%s", turn.id, turn.unusedFor.Round(time.Millisecond), turn.retention)
	}
	return text.String()
}
