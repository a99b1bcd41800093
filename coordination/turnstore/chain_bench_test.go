package turnstore_test

import (
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	statev1 "github.com/marblering/marblering/api/state/v1"
	"github.com/marblering/marblering/coordination/reach"
	"github.com/marblering/marblering/coordination/turnstore"
)

// benchTurnBytes is the size of a turn that doesn't compress.
const benchTurnBytes = 16 << 10

// BenchmarkLine reports, for each turn of a line that changes its zone with the given
// probability, the requests of gateways to members, the bytes of turns that gateways send and
// receive between zones, and the bytes on the disks of the members. Gateways keep no turns
// between two turns, so that each reads the line.
func BenchmarkLine(b *testing.B) {
	for _, moving := range []float64{0, 0.1, 0.5, 1} {
		for _, turns := range []int{10, 88} {
			b.Run(fmt.Sprintf("moving=%v/turns=%d", moving, turns), func(b *testing.B) {
				var messages, crossing, stored int64
				for number := range b.N {
					m, c, s := runLine(b, uint64(number), moving, turns)
					messages, crossing, stored = messages+m, crossing+c, stored+s
				}
				total := float64(b.N * turns)
				b.ReportMetric(float64(messages)/total, "requests/turn")
				b.ReportMetric(float64(crossing)/total/benchTurnBytes, "crossings/turn")
				b.ReportMetric(float64(stored)/total/benchTurnBytes, "copies/turn")
			})
		}
	}
}

// runLine takes the turns of a line and returns what it cost.
func runLine(b *testing.B, seed uint64, moving float64, turns int) (messages, crossing, stored int64) {
	c := newChainCluster(b, seed)
	random := mathrand.New(mathrand.NewPCG(seed, 1))
	zone := random.IntN(chainZones)
	var line []*statev1.RetainedTurn
	for number := range turns {
		if random.Float64() < moving {
			zone = random.IntN(chainZones)
		}
		link := newZoneLink(c, fmt.Sprint("z", zone))
		gateway, err := turnstore.New(link.zone, link, c.views, reach.New(time.Now), 1)
		assert.NilError(b, err)
		next := &statev1.RetainedTurn{Id: fmt.Sprint("turn", number), Input: make([]byte, benchTurnBytes), RetentionMs: 60_000}
		_, _ = rand.Read(next.Input)
		if len(line) > 0 {
			if line, err = gateway.History(b.Context(), "program", line[len(line)-1].GetId()); err != nil {
				b.Fatal(err)
			}
		}
		for _, earlier := range line {
			next.Ancestors = append(next.Ancestors, earlier.GetId())
		}
		assert.NilError(b, gateway.Put(b.Context(), "program", next, line))
		line = append(line, next)
		messages, crossing = messages+link.messages.Load(), crossing+link.crossing.Load()
	}
	return messages, crossing, int64(c.storedTurns()) * benchTurnBytes
}
