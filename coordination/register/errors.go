package register

import "github.com/ansel1/merry/v2"

// Errors of Client. Match them with errors.Is.
var (
	// ErrNoQuorum means that the change was not applied and never will be: no value
	// that includes it was ever sent to a member. Its cause is the context's error or
	// the last failure of a member.
	ErrNoQuorum = merry.Sentinel("register: no majority of the members answered; the change was not applied")
	// ErrUnknownOutcome means that a value that includes the change was sent to the
	// members, but it is not known whether a majority accepted it. The change may have
	// been applied, may be applied later when another proposer completes it, or may be
	// lost. The next Apply or Read that succeeds settles this: a change that its value
	// doesn't show will never be applied.
	ErrUnknownOutcome = merry.Sentinel("register: the outcome of the change is unknown")
)
