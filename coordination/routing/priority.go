package routing

import (
	"math/bits"
)

// levelsPerClass is the number of attained-service levels within one of the
// caller's priority classes.
const levelsPerClass = 32

// firstLevelTokens is the attained service up to which a program stays in the
// first level of its class.
const firstLevelTokens = 4096

// Priority maps a caller's class and the service a program tree has attained
// to the number an engine orders by, smaller first. Levels double in size, as
// in multi-level feedback queues, which approximates least attained service
// without knowing a program's length. It is monotone in both arguments.
func Priority(class uint32, attainedTokens uint64) uint32 {
	level := uint32(bits.Len64(attainedTokens / firstLevelTokens))
	return class*levelsPerClass + min(level, levelsPerClass-1)
}
