package budget

import (
	"fmt"
	"strings"

	statev1 "github.com/marblering/marblering/api/state/v1"
)

// maxListedHolders is the maximum number of holders that Describe lists. A replica set has
// at most five members; further holders are earlier processes of theirs.
const maxListedHolders = 8

// Describe formats a record for a log line: the limit, the settled tokens, and the spent
// and reserved tokens of each holder.
func Describe(record *statev1.TokenBudget) string {
	var text strings.Builder
	fmt.Fprintf(&text, "limit %d settled %d", record.GetLimit(), record.GetSettled())
	for index, holder := range record.GetHolders() {
		if index == maxListedHolders {
			fmt.Fprintf(&text, ", %d more", len(record.GetHolders())-index)
			break
		}
		fmt.Fprintf(&text, ", %s spent %d reserved %d", holder.GetHolder(), holder.GetSpent(), holder.GetReserved())
	}
	return text.String()
}
