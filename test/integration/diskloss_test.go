package integration

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	diskLossRounds   = flag.Int("diskloss.rounds", 4, "number of disks lost in TestShardsOutliveDisksLostInSeries")
	diskLossTraffic  = flag.Duration("diskloss.traffic", 6*time.Second, "how long programs take turns before each loss")
	diskLossPrograms = flag.Int("diskloss.programs", 40, "number of programs that take turns at a time")
	diskLossGateways = flag.Int("diskloss.gateways", 1, "number of gateways")
	diskLossNodes    = flag.Int("diskloss.nodes", 3, "number of storage nodes")
	diskLossShards   = flag.Int("diskloss.shards", 2, "number of shards")
	diskLossLine     = flag.Int("diskloss.line", 0, "number of turns of a program; 0 for as many as it gets")
	diskLossRate     = flag.Float64("diskloss.rate", 0, "turns a second; 0 for as fast as the programs can")
	diskLossBytes    = flag.Int("diskloss.bytes", 0, "least size of an input")
)

// diskLossNew is the number of new programs that begin after each loss.
const diskLossNew = 16

// powerLoss is the loss of a disk when all machines lose power.
var powerLoss = lossKind{name: "all killed", killsAll: true}

// TestShardsOutliveDisksLostInSeries guards against shards that serve nothing any more after
// storage nodes lost their disks one after the other, each while all processes were killed.
func TestShardsOutliveDisksLostInSeries(t *testing.T) {
	s := newDiskLossSystem(t, 1, lossShape{
		storageNodes: *diskLossNodes, gateways: *diskLossGateways, programs: *diskLossPrograms, rate: *diskLossRate, turnBytes: *diskLossBytes,
		shards: *diskLossShards, lineTurns: *diskLossLine,
	})
	clients := newLossClients(s)
	clients.awaitContinued(time.Now(), diskLossRecovery)
	for round := range *diskLossRounds {
		time.Sleep(*diskLossTraffic)
		clients.hold(true)
		loss := s.loseDisk(round%*diskLossNodes, powerLoss, 0)
		s.checkRecovery(clients, loss)
		clients.hold(false)
	}
	clients.stop()
	s.checkFinished(clients)
	s.logRedundancy()
	clients.report()
	assert.Assert(t, clients.whole > 0)
}

// checkRecovery checks that each program goes on after the loss, and that new ones begin.
func (s *diskLossSystem) checkRecovery(clients *lossClients, loss diskLoss) {
	s.t.Helper()
	newWhole := make(chan int)
	go func() { newWhole <- clients.awaitNew(diskLossNew, loss.returned) }()
	after, missing := clients.awaitContinued(loss.returned, diskLossRecovery)
	if len(after) > 0 {
		slices.Sort(after)
		s.log("loss %d: %d of %d programs went on, the last %.1f s after the return", len(s.losses), len(after), len(after)+len(missing),
			after[len(after)-1].Seconds())
	}
	for _, program := range missing {
		clients.note("program %s didn't go on in %v after the loss of %s", program, diskLossRecovery, loss.node)
	}
	s.log("loss %d: %d of %d new programs began", len(s.losses), <-newWhole, diskLossNew)
	if len(missing) > 0 {
		_, never := clients.awaitContinued(loss.returned, diskLossLate)
		s.log("loss %d: of those %d programs, all but %d went on until %.1f s after the return", len(s.losses), len(missing), len(never),
			time.Since(loss.returned).Seconds())
	}
}

// checkFinished checks that programs go on whose last turns were answered whole some time ago.
func (s *diskLossSystem) checkFinished(clients *lossClients) {
	s.t.Helper()
	finished := clients.recentlyFinished()
	const most = 400
	step := max(1, len(finished)/most)
	var lines []lossLine
	for index := 0; index < len(finished); index += step {
		lines = append(lines, finished[index])
	}
	whole := clients.takeEach(lines, time.Now().Add(diskLossRecovery))
	s.log("%s", fmt.Sprintf("%d of %d earlier programs went on", whole, len(lines)))
}
