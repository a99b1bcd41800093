package numbering

// minEqualSteps is the number of equal steps that show how a run is numbered, if they aren't of one.
const minEqualSteps = 2

// Run is what is known of the numbers of one run. The zero value is a run without events.
type Run struct {
	first, last Number
	// hasUnnumbered is set if an event had no number before the first one that had.
	hasUnnumbered bool
	// steps counts the steps between numbers, smallest is the smallest of them, and atSmallest counts
	// those that are equal to it.
	steps, atSmallest int
	smallest          uint64
}

// Add notes the number of the next event. One of more than maxExactDigits counts as none.
func (r *Run) Add(number Number) {
	if len(number) > maxExactDigits {
		r.AddUnnumbered()
		return
	}
	if r.first == "" && !r.hasUnnumbered {
		r.first = number
	}
	step, known := number.Since(r.last)
	if r.last != "" && known {
		r.addStep(step)
	}
	r.last = number
}

// AddUnnumbered notes an event without a number. What follows doesn't tell a step from the last number.
func (r *Run) AddUnnumbered() {
	r.hasUnnumbered = true
	r.last = ""
}

func (r *Run) addStep(step uint64) {
	r.steps++
	switch {
	case r.steps == 1 || step < r.smallest:
		r.smallest, r.atSmallest = step, 1
	case step == r.smallest:
		r.atSmallest++
	}
}

// Scheme returns how the run is numbered, as far as its own numbers show it.
func (r *Run) Scheme() Scheme {
	scheme := Scheme{First: r.first}
	switch {
	case r.steps == 0:
	case r.atSmallest < r.steps:
		scheme.Varies = true
	case r.smallest == 1 || r.steps >= minEqualSteps:
		scheme.Step = r.smallest
	}
	return scheme
}

// observation is what a run shows of the numbers of its software version.
type observation struct {
	first Number
	// step is the step of at least half of the run; 0 if there is none.
	step uint64
	// steps counts the steps. isUneven is set if they aren't all equal: the run lacks events, or its
	// version has steps that vary.
	steps    int
	isUneven bool
}

func (r *Run) observed() observation {
	seen := observation{first: r.first, steps: r.steps, isUneven: r.atSmallest < r.steps}
	if 2*r.atSmallest >= r.steps {
		seen.step = r.smallest
	}
	return seen
}
