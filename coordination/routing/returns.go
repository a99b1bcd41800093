package routing

import (
	"math"
	"sync"
	"time"
)

// Buckets of the lengths of pauses: each is wider than the one before by the
// same factor.
const (
	shortestPause     = 10 * time.Millisecond
	bucketsPerOctave  = 4
	pauseBuckets      = 80
	minPauseSamples   = 20
	maxPauseSamples   = 4096
	agingFactor       = 0.5
	assumedChance     = 1.0
	assumedReturnTime = 10 * time.Second
)

// Returns learns how long the programs of a class, such as a tenant's, stay
// silent between two calls, and how many never come back. From this follows
// the chance that a context kept through a pause is used again.
type Returns struct {
	mutex   sync.Mutex
	classes map[string]*pauses
}

// pauses are histograms of those that ended with a call and of those that
// ended with the program.
type pauses struct {
	returned [pauseBuckets]float64
	left     [pauseBuckets]float64
	samples  float64
}

// NewReturns makes an empty table.
func NewReturns() *Returns {
	return &Returns{classes: make(map[string]*pauses)}
}

// Returned records that a program called again after a pause.
func (r *Returns) Returned(class string, pause time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.open(class)
	known.returned[pauseBucket(pause)]++
	known.count()
}

// Left records that a program ended, or was ended, without another call after
// having been silent.
func (r *Returns) Left(class string, silence time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.open(class)
	known.left[pauseBucket(silence)]++
	known.count()
}

// Chance is the probability that a program that has been silent for a while
// calls again. It is 1 while too little is known.
func (r *Returns) Chance(class string, silence time.Duration) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, found := r.classes[class]
	if !found || known.samples < minPauseSamples {
		return assumedChance
	}
	returned, left := known.after(pauseBucket(silence))
	if returned+left == 0 {
		return 0
	}
	return returned / (returned + left)
}

// Remaining is the expected time until a program calls again, if it does.
func (r *Returns) Remaining(class string, silence time.Duration) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, found := r.classes[class]
	if !found || known.samples < minPauseSamples {
		return assumedReturnTime
	}
	var weight, total float64
	for bucket := pauseBucket(silence); bucket < pauseBuckets; bucket++ {
		weight += known.returned[bucket]
		total += known.returned[bucket] * float64(bucketEnd(bucket)-silence)
	}
	if weight == 0 {
		return assumedReturnTime
	}
	return max(time.Duration(total/weight), 0)
}

func (r *Returns) open(class string) *pauses {
	known, found := r.classes[class]
	if !found {
		known = &pauses{}
		r.classes[class] = known
	}
	return known
}

// count adds a sample and lets old ones fade, so that habits may change.
func (p *pauses) count() {
	p.samples++
	if p.samples < maxPauseSamples {
		return
	}
	p.samples *= agingFactor
	for bucket := range p.returned {
		p.returned[bucket] *= agingFactor
		p.left[bucket] *= agingFactor
	}
}

// after sums up the pauses at least as long as those of a bucket.
func (p *pauses) after(first int) (returned, left float64) {
	for bucket := first; bucket < pauseBuckets; bucket++ {
		returned += p.returned[bucket]
		left += p.left[bucket]
	}
	return returned, left
}

func pauseBucket(pause time.Duration) int {
	if pause <= shortestPause {
		return 0
	}
	octaves := math.Log2(float64(pause) / float64(shortestPause))
	return min(int(octaves*bucketsPerOctave)+1, pauseBuckets-1)
}

// bucketEnd is the longest pause of a bucket.
func bucketEnd(bucket int) time.Duration {
	return time.Duration(float64(shortestPause) * math.Exp2(float64(bucket)/bucketsPerOctave))
}
