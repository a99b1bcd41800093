package scale

import (
	"math/rand/v2"
	"strings"
)

// Prose is drawn from a vocabulary, so that it compresses about as text does.
const (
	vocabularyWords = 4000
	letters         = "etaoinshrdlucmfwypvbgkjqxz"
)

func prose(random *rand.Rand, size int) string {
	vocabulary := rand.New(rand.NewPCG(2, 3))
	words := make([]string, vocabularyWords)
	for index := range words {
		word := make([]byte, 2+vocabulary.IntN(9))
		for position := range word {
			word[position] = letters[int(vocabulary.ExpFloat64()*5)%len(letters)]
		}
		words[index] = string(word)
	}
	var text strings.Builder
	for text.Len() < size {
		text.WriteString(words[int(random.ExpFloat64()*500)%len(words)])
		text.WriteByte(' ')
	}
	return text.String()[:size]
}
