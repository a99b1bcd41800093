// Package numbering tells whether the events of streams follow one another. It learns from the runs of
// each software version of a service how their events are numbered: at which number a run begins, and by
// how much its numbers rise.
package numbering
