package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marblering/marblering/lab/engine"
)

// scriptMaker draws the scripts of one program and its sub-agents.
type scriptMaker struct {
	random *rand.Rand
	tenant string
}

func newScriptMaker(seed, program uint64) *scriptMaker {
	return &scriptMaker{random: rand.New(rand.NewPCG(seed, program))}
}

// newScript opens a script with the system prompt of its kind and tokens of its
// own.
func (m *scriptMaker) newScript(kind string, systemTokens, ownTokens int) *script {
	return &script{
		kind:   kind,
		tenant: m.tenant,
		opening: []engine.Segment{
			{ID: xxhash.Sum64String(kind), Tokens: systemTokens},
			{ID: m.random.Uint64(), Tokens: ownTokens},
		},
	}
}

// between draws a whole number with equal chances.
func (m *scriptMaker) between(low, high int) int {
	return low + m.random.IntN(high-low+1)
}

// pause draws a time whose logarithm is uniform, since tools and users are
// mostly quick and sometimes very slow.
func (m *scriptMaker) pause(low, high time.Duration) time.Duration {
	span := math.Log(float64(high) / float64(low))
	return time.Duration(float64(low) * math.Exp(m.random.Float64()*span))
}

func (m *scriptMaker) chance(probability float64) bool {
	return m.random.Float64() < probability
}
