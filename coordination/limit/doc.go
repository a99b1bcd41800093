// Package limit holds the rules that bound load and repetition at every daemon:
// a rate and its token bucket (Rate, Bucket), how many retries and hedges may be
// sent (RetryBudget), how many operations may be under way (Adaptive), and which
// engines are too slow or fail too often to be used (Ejector).
//
// It owns counts in memory and no I/O. Clock readings are passed in. All types
// are safe for concurrent use unless they say otherwise.
package limit
