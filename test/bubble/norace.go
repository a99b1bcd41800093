//go:build !race

package bubble

// isRace tells that the race detector is on.
const isRace = false
