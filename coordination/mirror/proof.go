package mirror

import "time"

// proofsPerLimit is how often within the limit those that ask the store prove what they
// have. While the store was away for 4.4 s, with a limit of 5 s, a tenth let 0.88 to 0.91
// of what callers are owed be served, a fifth 0.87, and held calls of a fifth 0.71; in
// quiet the store was called 540, 376 and 385 times (one run each, two of the first).
const proofsPerLimit = 10

// ProofPause is the longest pause between calls that failed, where answers have to prove
// how new they are: requests with keys are refused until they do (chosen, not measured
// by itself).
const ProofPause = 100 * time.Millisecond

// ProofInterval is the pause between two questions whose answers prove that nothing
// newer existed, where knowledge that is older than the limit is of no use. What a
// gateway knows is at most two intervals and a hop old while all goes well, so that it
// bears that the store is out of reach for three quarters of the limit.
func ProofInterval(limit time.Duration) time.Duration { return limit / proofsPerLimit }
