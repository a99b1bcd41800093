package integration

import (
	"fmt"
	"testing"
)

// TestStreamsKeepTheirOrder guards against streams that miss, repeat or join events of two runs,
// or end as whole before their last event, and against turns that are stored so, while all
// kinds of processes fail and change in series and at once.
func TestStreamsKeepTheirOrder(t *testing.T) {
	for index := range *orderSoakSeeds {
		seed := *orderSoakFirst + uint64(index)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soakOrder(t, seed) })
	}
}
