// Package limit implements the limits that protect nodes from overload: rate limits with
// token buckets (Rate, Bucket), a budget of retries and hedges (RetryBudget), a limit of
// concurrent operations (AdaptiveLimit), and the ejection of engines that are slow or
// fail often (Ejector).
//
// It keeps its state in memory and does no I/O. Callers pass in the time or a clock. All
// types are safe for concurrent use unless documented otherwise.
package limit
