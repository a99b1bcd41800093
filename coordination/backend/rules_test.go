package backend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/limit"
)

func TestEligibilityOf(t *testing.T) {
	cases := []struct {
		name  string
		input eligibilityInput
		want  eligibility
	}{
		{"healthy", eligibilityInput{health: limit.Healthy}, eligible},
		{"probed", eligibilityInput{health: limit.Probing}, probed},
		{"ejected", eligibilityInput{health: limit.Ejected}, lastResort},
		{"lost its address", eligibilityInput{addressLost: true}, lastResort},
		{"lost its address while probed", eligibilityInput{addressLost: true, health: limit.Probing}, lastResort},
		{"leaving", eligibilityInput{isLeaving: true}, ineligible},
		{"leaving while ejected", eligibilityInput{isLeaving: true, health: limit.Ejected}, ineligible},
		{"tried before", eligibilityInput{wasTried: true}, ineligible},
		{"tried before, lost its address", eligibilityInput{wasTried: true, addressLost: true}, ineligible},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, eligibilityOf(c.input), c.want)
		})
	}
}

// TestChoose uses the instances a, b and so on, ranked in this order for the key.
func TestChoose(t *testing.T) {
	cases := []struct {
		name        string
		outstanding []int64
		hasKey      bool
		stalled     string
		want        string
		preferred   bool
	}{
		{"highest-ranked", []int64{0, 0, 0}, true, "", "a", true},
		{"above the mean, within the load bound", []int64{4, 0, 0}, true, "", "a", true},
		{"above the load bound", []int64{9, 0, 0}, true, "", "b", false},
		{"single instance", []int64{9}, true, "", "a", true},
		{"least loaded without a key", []int64{3, 2, 1}, false, "", "c", false},
		{"equally loaded without a key, from a random start", []int64{1, 1, 1}, false, "", "b", false},
		{"stalled", []int64{0, 0, 0}, true, "a", "b", false},
		{"stalled without a key", []int64{0, 1, 2}, false, "a", "b", false},
		{"another instance is stalled", []int64{0, 0, 0}, true, "b", "a", true},
		{"half are stalled", []int64{0, 0, 0, 0}, true, "ab", "c", false},
		{"most are stalled", []int64{0, 0, 0}, true, "ab", "a", true},
		{"all are stalled", []int64{0, 0, 0}, true, "abc", "a", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			chosen, preferred := choose(picker{
				candidates: candidatesWith(c.outstanding),
				hasKey:     c.hasKey,
				isStalled:  func(checked candidate) bool { return strings.Contains(c.stalled, checked.member.ID) },
				random:     func(n int) int { return min(1, n-1) },
			})
			assert.Equal(t, chosen.member.ID, c.want)
			assert.Equal(t, preferred, c.preferred)
		})
	}
}

// candidatesWith returns the candidates a, b and so on with the given numbers of requests
// and descending weights.
func candidatesWith(outstanding []int64) []candidate {
	var candidates []candidate
	for index, count := range outstanding {
		id := fmt.Sprintf("%c", 'a'+index)
		candidates = append(candidates, candidate{
			member:      &member{Instance: Instance{ID: id}},
			weight:      uint64(len(outstanding) - index),
			outstanding: count,
		})
	}
	return candidates
}

func TestIsMassExpiry(t *testing.T) {
	cases := []struct {
		vanished, known int
		want            bool
	}{
		{0, 0, false},
		{1, 1, false},
		{1, 3, false},
		{2, 2, true},
		{2, 6, true},
		{2, 7, false},
		{13, 37, true},
		{12, 37, false},
	}
	for _, c := range cases {
		assert.Equal(t, isMassExpiry(c.vanished, c.known), c.want, "%d of %d", c.vanished, c.known)
	}
}

func TestStallTimeoutFor(t *testing.T) {
	cases := map[time.Duration]time.Duration{
		0:                      time.Second,
		10 * time.Millisecond:  250 * time.Millisecond,
		62 * time.Millisecond:  250 * time.Millisecond,
		100 * time.Millisecond: 400 * time.Millisecond,
		2 * time.Second:        8 * time.Second,
	}
	for baseline, want := range cases {
		assert.Equal(t, stallTimeoutFor(baseline), want, "%s", baseline)
	}
}

func TestNextBaseline(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct{ baseline, wait, want time.Duration }{
		{0, 100 * ms, 100 * ms},
		{100 * ms, 100 * ms, 100 * ms},
		{100 * ms, 200 * ms, 105 * ms},
		{100 * ms, 0, 95 * ms},
		{100 * ms, 400 * ms, 115 * ms},
		{100 * ms, time.Minute, 115 * ms},
	}
	for _, c := range cases {
		assert.Equal(t, nextBaseline(c.baseline, c.wait), c.want, "%s after %s", c.wait, c.baseline)
	}
}
