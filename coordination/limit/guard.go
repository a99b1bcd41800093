package limit

import (
	"time"
)

// ProgramLimits bound a program that hangs or loops.
type ProgramLimits struct {
	// Idle is how long a program may go without a call; a hanging tool leaves
	// it silent.
	Idle time.Duration
	// Turns is the greatest number of calls.
	Turns uint32
	// Repeats is the greatest number of equal requests in a row.
	Repeats uint32
	// Lifetime is the longest time from the first call on.
	Lifetime time.Duration
}

// ProgramActivity is what a program has done.
type ProgramActivity struct {
	Created    time.Time
	LastActive time.Time
	// Running is set while a call is in flight; such a program isn't idle.
	Running bool
	Turns   uint32
	// Repeats counts the newest requests whose digests are equal.
	Repeats uint32
}

// EndReason says why a program is to be ended; empty keeps it.
type EndReason string

// Reasons to end a program.
const (
	KeepProgram   EndReason = ""
	EndIdle       EndReason = "idle for too long"
	EndTurns      EndReason = "turn limit reached"
	EndRepeats    EndReason = "the same request over and over"
	EndOverstayed EndReason = "lifetime over"
)

// Check says whether a program is to be ended. A limit of zero isn't applied.
func (l *ProgramLimits) Check(activity ProgramActivity, now time.Time) EndReason {
	switch {
	case l.Turns > 0 && activity.Turns >= l.Turns:
		return EndTurns
	case l.Repeats > 0 && activity.Repeats >= l.Repeats:
		return EndRepeats
	case l.Lifetime > 0 && now.Sub(activity.Created) >= l.Lifetime:
		return EndOverstayed
	case l.Idle > 0 && !activity.Running && now.Sub(activity.LastActive) >= l.Idle:
		return EndIdle
	}
	return KeepProgram
}
