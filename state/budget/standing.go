package budget

import (
	"fmt"
	"strings"

	statev1 "github.com/marblering/marblering/api/state/v1"
)

// listedHolders bounds the holders that Standing lists, so that a log line stays
// short. A replica set has five members at most; more holders are earlier lives.
const listedHolders = 8

// Standing describes a record for a log line: its limit, what is settled, and for each
// holder what it has spent and what it reserves, in tokens.
func Standing(record *statev1.TokenBudget) string {
	var text strings.Builder
	fmt.Fprintf(&text, "limit %d settled %d", record.GetLimit(), record.GetSettled())
	for place, holder := range record.GetHolders() {
		if place == listedHolders {
			fmt.Fprintf(&text, ", %d more", len(record.GetHolders())-place)
			break
		}
		fmt.Fprintf(&text, ", %s spent %d reserved %d", holder.GetHolder(), holder.GetSpent(), holder.GetReserved())
	}
	return text.String()
}
