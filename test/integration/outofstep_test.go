package integration

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/runner"
	"github.com/marblering/marblering/test/harness"
)

var (
	outOfStepSeeds = flag.Int("outofstep.seeds", 1, "number of seeds of TestStreamAtGatewayOutOfStepKeepsItsVersion")
	outOfStepFirst = flag.Uint64("outofstep.first", 1, "first of these seeds")
)

const (
	// maxOutOfStep is the longest time that a gateway stands still after the new version has
	// joined, beside that in which streams begin and break.
	maxOutOfStep = 4 * time.Second
	// outOfStepEntryDelay is the longest time after which the entry of an instance follows that
	// started again as another version.
	outOfStepEntryDelay = 500 * time.Millisecond
)

// outOfStepCase says what happens while a gateway stands still, after the new version joined.
type outOfStepCase struct {
	name string
	// leaves is set if the old version leaves after the streams have broken.
	leaves bool
	// restarts is set if an instance of the old version starts again as the new one.
	restarts bool
	// storagePaused is the number of storage nodes that stand still when the gateway goes on.
	storagePaused int
	// refused is set if streams may be refused whose version serves.
	refused bool
}

// TestStreamAtGatewayOutOfStepKeepsItsVersion guards against streams that go on at another version,
// or are refused for good though theirs serves, at a gateway that stood still while a version joined.
func TestStreamAtGatewayOutOfStepKeepsItsVersion(t *testing.T) {
	t.Parallel()
	for _, c := range []outOfStepCase{
		{name: "new version joins"},
		{name: "old version leaves", leaves: true},
		{name: "instance starts again as new version", restarts: true, refused: true},
		{name: "a storage node stands still", storagePaused: 1},
		{name: "two storage nodes stand still", storagePaused: 2},
	} {
		for index := range *outOfStepSeeds {
			seed := *outOfStepFirst + uint64(index)
			t.Run(fmt.Sprint(c.name, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				o := newOutOfStep(t, c, seed)
				o.beginWhileItStandsStill()
				o.takeUpThere()
			})
		}
	}
}

// outOfStep is a system with a gateway that stands still.
type outOfStep struct {
	*rejoin
	outOfStepCase
	random *rand.Rand
	paused *soakGateway
	// rejected are the versions of streams that were refused for good.
	rejected map[string]int
}

func newOutOfStep(t *testing.T, c outOfStepCase, seed uint64) *outOfStep {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, seed))
	o := &outOfStep{outOfStepCase: c, random: random, rejected: make(map[string]int)}
	after := []string{"v1", "v2"}
	if c.leaves {
		after = []string{"v2"}
	}
	o.rejoin = newRejoin(t, rejoinCase{before: []string{"v1"}, after: after, hasBudget: random.IntN(2) == 0, tellsStart: c.restarts})
	o.paused = o.gateways[len(o.gateways)-1]
	return o
}

// beginWhileItStandsStill begins streams at the other gateways, and returns once they have broken.
func (o *outOfStep) beginWhileItStandsStill() {
	o.t.Helper()
	o.setAddress(o.paused.index, "")
	o.paused.process.Pause(o.t)
	o.addInstances("v2")
	o.awaitVersions("2")
	for _, instance := range o.instances {
		instance.SetFault(runner.CutAnswer, -1)
	}
	if o.restarts {
		o.startAgain()
	}
	o.beginStreams()
	o.reading.Wait()
	for _, instance := range o.instances {
		instance.SetFault(runner.None, 0)
	}
	if o.leaves {
		o.replaceInstances()
	}
	time.Sleep(time.Duration(o.random.Int64N(int64(maxOutOfStep))))
}

// awaitVersions waits until the gateways that go on know as many versions.
func (o *outOfStep) awaitVersions(count string) {
	o.t.Helper()
	for _, g := range o.gateways {
		if g == o.paused {
			continue
		}
		url := "http://" + g.process.WaitValue(o.t, "operator_address") + "/metrics"
		harness.Eventually(o.t, func() (bool, string) {
			return metricOf(url, "marblering_gateway_software_versions") == count, "a gateway doesn't know the versions"
		})
	}
}

// startAgain starts an instance of v1 again as v2. Its entry follows.
func (o *outOfStep) startAgain() {
	for _, instance := range o.instances {
		if instance.version != "v1" {
			continue
		}
		instance.StartAgainAs(" of v2")
		delay := time.Duration(o.random.Int64N(int64(outOfStepEntryDelay)))
		o.reading.Go(func() {
			time.Sleep(delay)
			instance.version, instance.born = "v2", instance.Started()
			o.putInstance(instance, "ready")
		})
		return
	}
}

// takeUpThere lets the gateway go on. All clients take up their streams there alone, from its first
// moments on, until they have the whole stream or it is refused for good.
func (o *outOfStep) takeUpThere() {
	o.t.Helper()
	for _, g := range o.gateways {
		o.setAddress(g.index, "")
	}
	for _, m := range o.storage[:o.storagePaused] {
		m.process.Pause(o.t)
	}
	o.setAddress(o.paused.index, o.paused.life.address)
	whole := make(map[string]int)
	var mutex sync.Mutex
	started := time.Now()
	for _, stream := range o.streams {
		o.reading.Go(func() {
			ended := o.takeUpOne(stream, started)
			mutex.Lock()
			defer mutex.Unlock()
			switch ended {
			case soakWhole:
				whole[stream.version()]++
			case soakRejected:
				o.rejected[stream.version()]++
			}
		})
	}
	time.Sleep(time.Duration(o.random.Int64N(int64(rejoinRetryPause))))
	o.paused.process.Resume()
	if o.storagePaused > 0 {
		time.Sleep(time.Second)
		for _, m := range o.storage[:o.storagePaused] {
			m.process.Resume()
		}
	}
	o.reading.Wait()
	o.t.Logf("whole: %v, refused for good: %v, with budgets: %v", whole, o.rejected, o.hasBudget)
	o.check(whole)
	for version, count := range o.rejected {
		assert.Assert(o.t, o.refused || o.leaves && version == "v1", "%d streams of %s were refused for good", count, version)
	}
}

func (o *outOfStep) takeUpOne(stream *soakStream, started time.Time) soakOutcome {
	ended := soakBroken
	for ended == soakBroken && time.Since(started) < rejoinPatience {
		ended = stream.try(rejoinTimeout)
		if ended == soakBroken {
			time.Sleep(soakRetryPause)
		}
	}
	return ended
}

// metricOf returns the value of a metric without labels; empty if it can't be read.
func metricOf(url, name string) string {
	page, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer page.Body.Close()
	return metricIn(page.Body, name)
}

func metricIn(page io.Reader, name string) string {
	for lines := bufio.NewScanner(page); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), name+" "); found {
			return value
		}
	}
	return ""
}
