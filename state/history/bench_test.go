package history_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/klauspost/compress/zstd"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/state/history"
)

// turnTextBytes makes 88 turns come to about 310,000 tokens of four bytes.
const turnTextBytes = 310_000 * 4 / 88

// prose returns text that compresses about as well as prose.
func prose(random *rand.Rand, size int) string {
	const letters = "etaoinshrdlucmfwypvbgkjqxz"
	vocabulary := make([]string, 4000)
	for i := range vocabulary {
		word := make([]byte, 2+random.IntN(9))
		for j := range word {
			word[j] = letters[int(random.ExpFloat64()*5)%len(letters)]
		}
		vocabulary[i] = string(word)
	}
	var text strings.Builder
	for text.Len() < size {
		text.WriteString(vocabulary[int(random.ExpFloat64()*500)%len(vocabulary)])
		text.WriteByte(' ')
	}
	return text.String()[:size]
}

func longConversation(b *testing.B, turns int) *conversation {
	random := rand.New(rand.NewPCG(1, 2))
	c := &conversation{program: "own"}
	for range turns {
		c.add(b, c.head(), 0, prose(random, turnTextBytes))
	}
	return c
}

// bomb is an object that decompresses to more than a turn may have.
func bomb(t testing.TB) []byte {
	encoder, err := zstd.NewWriter(nil)
	assert.NilError(t, err)
	return encoder.EncodeAll(make([]byte, history.MaxTurnBytes+1), []byte{1})
}

var lengths = []int{1, 10, 88}

// BenchmarkTurn measures what one more turn costs after a history of some
// turns: encoding, the object's size, and extending the cached chain.
func BenchmarkTurn(b *testing.B) {
	for _, length := range lengths {
		b.Run(fmt.Sprintf("history=%d", length), func(b *testing.B) {
			c := longConversation(b, length)
			turn := c.turns[length-1]
			chain, err := history.NewChain("own", turn.GetPrevious(), c.turns[:length-1])
			assert.NilError(b, err)
			cache := history.NewCache(64 << 20)
			stored := 0
			b.ReportAllocs()
			for b.Loop() {
				object, digest, err := history.Encode(turn)
				assert.NilError(b, err)
				longer, err := chain.Extend("own", turn, digest)
				assert.NilError(b, err)
				cache.Store("own", longer)
				stored = len(object)
			}
			b.ReportMetric(float64(stored), "stored_B")
			b.ReportMetric(float64(len(turn.GetMessages())+len(turn.GetAnswer())), "plain_B")
		})
	}
}

// BenchmarkHistory measures reading the whole conversation back, from the
// cache and from the stored objects.
func BenchmarkHistory(b *testing.B) {
	for _, length := range lengths {
		c := longConversation(b, length)
		chain, err := history.NewChain("own", c.head(), c.turns)
		assert.NilError(b, err)
		cache := history.NewCache(64 << 20)
		cache.Store("own", chain)
		b.Run(fmt.Sprintf("hit/history=%d", length), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				cached, found := cache.Lookup("own", c.head())
				assert.Assert(b, found && len(cached.Messages()) == 3*length)
			}
		})
		b.Run(fmt.Sprintf("miss/history=%d", length), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				turns, _, err := history.Assemble("own", c.head(), slices.Values(c.stored))
				assert.NilError(b, err)
				assembled, err := history.NewChain("own", c.head(), turns)
				assert.NilError(b, err)
				assert.Assert(b, len(assembled.Messages()) == 3*length)
			}
			b.ReportMetric(float64(chain.Tokens()), "tokens")
		})
	}
}
