package backend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/limit"
)

func TestStandingOf(t *testing.T) {
	cases := []struct {
		name  string
		facts eligibilityInput
		want  eligibility
	}{
		{"healthy", eligibilityInput{health: limit.Healthy}, eligible},
		{"probed", eligibilityInput{health: limit.Probed}, probed},
		{"ejected", eligibilityInput{health: limit.Ejected}, lastResort},
		{"lost its address", eligibilityInput{addressLost: true}, lastResort},
		{"lost its address while probed", eligibilityInput{addressLost: true, health: limit.Probed}, lastResort},
		{"leaving", eligibilityInput{isLeaving: true}, ineligible},
		{"leaving while ejected", eligibilityInput{isLeaving: true, health: limit.Ejected}, ineligible},
		{"tried before", eligibilityInput{wasTried: true}, ineligible},
		{"tried before, lost its address", eligibilityInput{wasTried: true, addressLost: true}, ineligible},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, eligibilityOf(c.facts), c.want)
		})
	}
}

// TestChoose has instances a, b and so on, of which a is the first in the key's order.
func TestChoose(t *testing.T) {
	cases := []struct {
		name        string
		outstanding []int64
		hasKey      bool
		stalled     string
		want        string
		preferred   bool
	}{
		{"first in the key's order", []int64{0, 0, 0}, true, "", "a", true},
		{"a little more than its share", []int64{4, 0, 0}, true, "", "a", true},
		{"too much more than its share", []int64{9, 0, 0}, true, "", "b", false},
		{"one instance takes all", []int64{9}, true, "", "a", true},
		{"without a key", []int64{3, 2, 1}, false, "", "c", false},
		{"equals without a key, from a random place on", []int64{1, 1, 1}, false, "", "b", false},
		{"stalled", []int64{0, 0, 0}, true, "a", "b", false},
		{"stalled without a key", []int64{0, 1, 2}, false, "a", "b", false},
		{"another one is stalled", []int64{0, 0, 0}, true, "b", "a", true},
		{"half are stalled", []int64{0, 0, 0, 0}, true, "ab", "c", false},
		{"most are stalled", []int64{0, 0, 0}, true, "ab", "a", true},
		{"all are stalled", []int64{0, 0, 0}, true, "abc", "a", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			chosen, preferred := choose(picker{
				candidates: candidatesWith(c.outstanding),
				hasKey:     c.hasKey,
				isStalled:  func(of candidate) bool { return strings.Contains(c.stalled, of.member.ID) },
				random:     func(n int) int { return min(1, n-1) },
			})
			assert.Equal(t, chosen.member.ID, c.want)
			assert.Equal(t, preferred, c.preferred)
		})
	}
}

// candidatesWith makes instances a, b and so on with such numbers of requests, whose
// weights fall in this order.
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

func TestIsLapse(t *testing.T) {
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

func TestPatienceFor(t *testing.T) {
	cases := map[time.Duration]time.Duration{
		0:                      time.Second,
		10 * time.Millisecond:  250 * time.Millisecond,
		62 * time.Millisecond:  250 * time.Millisecond,
		100 * time.Millisecond: 400 * time.Millisecond,
		2 * time.Second:        8 * time.Second,
	}
	for usual, want := range cases {
		assert.Equal(t, stallTimeoutFor(usual), want, "%s", usual)
	}
}

func TestNextUsual(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct{ usual, wait, want time.Duration }{
		{0, 100 * ms, 100 * ms},
		{100 * ms, 100 * ms, 100 * ms},
		{100 * ms, 200 * ms, 105 * ms},
		{100 * ms, 0, 95 * ms},
		{100 * ms, 400 * ms, 115 * ms},
		{100 * ms, time.Minute, 115 * ms},
	}
	for _, c := range cases {
		assert.Equal(t, nextBaseline(c.usual, c.wait), c.want, "%s after %s", c.wait, c.usual)
	}
}
