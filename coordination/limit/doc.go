// Package limit holds the limits of a system of several equal nodes: what an
// engine may have outstanding (Admission), what a tenant may use (Pool and
// Share), how many retries a node may send (RetryBudget), which engines are
// too slow to be used (Ejector), when a call is shed and when it may come back
// (Shedder), and when a program is looping or abandoned (ProgramLimits).
//
// Clock readings and random sources are passed in. All types are safe for
// concurrent use unless they say otherwise.
package limit
