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

// turnTextBytes is the text size per turn at which 88 turns hold about 310,000 tokens of
// four bytes.
const turnTextBytes = 310_000 * 4 / 88

// prose returns random text that compresses about as well as English prose.
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

// oversizedObject returns a small object that decompresses to more than MaxTurnBytes.
func oversizedObject(t testing.TB) []byte {
	encoder, err := zstd.NewWriter(nil)
	assert.NilError(t, err)
	return encoder.EncodeAll(make([]byte, history.MaxTurnBytes+1), []byte{1})
}

var historyLengths = []int{1, 10, 88}

// BenchmarkTurn measures the cost of the last turn of histories of several lengths:
// encoding it, extending the cached chain, and the size of the stored object.
func BenchmarkTurn(b *testing.B) {
	for _, length := range historyLengths {
		b.Run(fmt.Sprintf("history=%d", length), func(b *testing.B) {
			c := longConversation(b, length)
			turn := c.turns[length-1]
			chain, err := history.NewChain("own", turn.GetPrevious(), c.turns[:length-1])
			assert.NilError(b, err)
			cache := history.NewCache(64 << 20)
			storedBytes := 0
			b.ReportAllocs()
			for b.Loop() {
				object, digest, err := history.Encode(turn)
				assert.NilError(b, err)
				longer, err := chain.Extend("own", turn, digest)
				assert.NilError(b, err)
				cache.Store("own", longer)
				storedBytes = len(object)
			}
			b.ReportMetric(float64(storedBytes), "stored_B")
			b.ReportMetric(float64(len(turn.GetMessages())+len(turn.GetAnswer())), "plain_B")
		})
	}
}

// BenchmarkHistory measures reading a complete conversation from the cache and
// from the stored objects.
func BenchmarkHistory(b *testing.B) {
	for _, length := range historyLengths {
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
