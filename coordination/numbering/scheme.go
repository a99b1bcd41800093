package numbering

import "strconv"

// Scheme is how the events of runs are numbered, as far as it is known.
type Scheme struct {
	// First is the number of the first event of a run; empty if it isn't known.
	First Number
	// Step is by how much the numbers rise; 0 if it isn't known or varies.
	Step uint64
	// IsSure tells that enough runs have shown the step.
	IsSure bool
	// Varies tells that the numbers rise by steps of different size.
	Varies bool
}

// Verdict is what the numbers tell about two events.
type Verdict int

const (
	// Follows: the event is the next one, or nothing shows that it isn't.
	Follows Verdict = iota
	// Missing: events are missing before it.
	Missing
	// Unknown: it isn't known by how much numbers rise.
	Unknown
)

// String returns the scheme as it stands in log lines: the first number and the step.
func (s Scheme) String() string {
	first, step := "?", "?"
	if s.First != "" {
		first = string(s.First)
	}
	switch {
	case s.Varies:
		step = "varies"
	case s.Step > 0:
		step = strconv.FormatUint(s.Step, 10)
	}
	if s.Step > 0 && !s.IsSure {
		step += "?"
	}
	return first + "+" + step
}

// HasStep reports whether the scheme tells something about the steps between numbers.
func (s Scheme) HasStep() bool { return s.Step > 0 || s.Varies }

// maxMissingAtStart is the number of events up to which a run may lack its first ones. One that begins later
// has another numbering.
const maxMissingAtStart = 32

// CheckFirst decides about the first event of a run. If it comes after the number at which others begin, the
// run lacks events or has another numbering.
func (s Scheme) CheckFirst(number Number) Verdict {
	late, known := number.Since(s.First)
	if s.Step > 0 && s.First != "" && known && late/s.Step <= maxMissingAtStart {
		return Unknown
	}
	return Follows
}

// CheckNext decides about an event after the one with the last number, which is lower, and so many events
// without a number. Each of these may stand for one.
func (s Scheme) CheckNext(last, number Number, unnumbered uint64) Verdict {
	step, known := number.Since(last)
	switch {
	case s.Varies:
		return Follows
	case s.Step == 0 && known && step == 1:
		return Follows
	case s.Step == 0:
		return Unknown
	case known && step >= s.Step && step%s.Step == 0 && step/s.Step <= unnumbered+1:
		return Follows
	}
	return Missing // no step exceeds 64 bits
}
