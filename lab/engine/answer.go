package engine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the stand-in's whole tokenizer: a token is four bytes of
	// the rendered prompt or of the answer.
	bytesPerToken = 4
	// messageEnd terminates each rendered message.
	messageEnd = '\x03'
	// answerPrefix opens an assistant's message, and ends every prompt.
	answerPrefix = "assistant\n"
	// quotedRunes is how much of the last user message an answer repeats.
	quotedRunes = 24
	// minimumWords and wordRange bound the length of an answer.
	minimumWords = 8
	wordRange    = 24
	// DefaultMaxTokens limits an answer whose request gave no limit.
	DefaultMaxTokens = 256
)

// words fill an answer. They mean nothing.
var words = [...]string{
	"acid", "bean", "body", "cup", "dose", "flow", "gate", "grind",
	"hall", "level", "main", "meter", "note", "pump", "roast", "valve",
}

// message is the part of a chat message that the stand-in reads.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// render concatenates the messages as the model would see them. A message that
// holds more than a role and a text is rendered as compact JSON. The rendering
// never is longer than the messages' JSON by more than one byte a message.
func render(messages []json.RawMessage) ([]byte, error) {
	var rendered bytes.Buffer
	for index, raw := range messages {
		if err := renderMessage(&rendered, raw); err != nil {
			return nil, merry.Prependf(err, "messages[%d]", index)
		}
	}
	return rendered.Bytes(), nil
}

func renderMessage(rendered *bytes.Buffer, raw json.RawMessage) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	var plain message
	if decoder.Decode(&plain) == nil && plain.Role != "" {
		rendered.WriteString(plain.Role)
		rendered.WriteByte('\n')
		rendered.WriteString(plain.Content)
		rendered.WriteByte(messageEnd)
		return nil
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal(raw, &object); err != nil {
		return merry.Wrap(err)
	}
	if err := json.Compact(rendered, raw); err != nil {
		return merry.Wrap(err)
	}
	rendered.WriteByte(messageEnd)
	return nil
}

// segments divides a prompt into the runs of tokens that the cache shares: a
// message is one run, except that the assistant's role and text are two. So the
// answer to a prompt is a run of its own, and the prompt, the answer and the
// next message make the next turn's prompt.
func segments(messages []json.RawMessage) []Segment {
	var path []Segment
	for _, raw := range messages {
		var rendered bytes.Buffer
		if renderMessage(&rendered, raw) != nil {
			continue
		}
		text := rendered.Bytes()[:rendered.Len()-1]
		if rest, ok := bytes.CutPrefix(text, []byte(answerPrefix)); ok {
			path = append(path, segmentOf([]byte(answerPrefix)))
			text = rest
		}
		if len(text) > 0 {
			path = append(path, segmentOf(text))
		}
	}
	return append(path, segmentOf([]byte(answerPrefix)))
}

func segmentOf(text []byte) Segment {
	return Segment{ID: xxhash.Sum64(text), Tokens: tokensOf(len(text))}
}

// ChainDigest is the SHA-256 of the rendered messages in hexadecimal. It is
// what the ledger records for a completion.
func ChainDigest(messages []json.RawMessage) (string, error) {
	rendered, err := render(messages)
	if err != nil {
		return "", err
	}
	return digestOf(rendered), nil
}

func digestOf(rendered []byte) string {
	sum := sha256.Sum256(rendered)
	return hex.EncodeToString(sum[:])
}

// PromptTokens counts the tokens of a prompt as the stand-in does. They are
// never more than a quarter of the bytes of the messages' JSON, rounded up.
func PromptTokens(messages []json.RawMessage) uint64 {
	total := 0
	for _, segment := range segments(messages) {
		total += segment.Tokens
	}
	return uint64(total)
}

func tokensOf(size int) int {
	return (size + bytesPerToken - 1) / bytesPerToken
}

// ExpectedAnswer returns the text every engine with this seed gives to these
// messages: it depends on the seed and the whole chain alone, repeats the start
// of the last user message, and is cut at maxTokens (zero: DefaultMaxTokens).
// It is ASCII throughout. Messages that can't be read give an empty text.
func ExpectedAnswer(seed uint64, messages []json.RawMessage, maxTokens uint64) string {
	rendered, err := render(messages)
	if err != nil {
		return ""
	}
	return limitTokens(answerText(seed, rendered, messages), maxTokens)
}

func answerText(seed uint64, rendered []byte, messages []json.RawMessage) string {
	hash := sha256.New()
	_ = binary.Write(hash, binary.BigEndian, seed)
	hash.Write(rendered)
	sum := hash.Sum(nil)
	var text strings.Builder
	fmt.Fprintf(&text, "re %s [%x] of %d:", quoteLastUser(messages), sum[:6], len(messages))
	count := minimumWords + int(sum[6])%wordRange
	for index := range count {
		position := sum[(7+index)%len(sum)] + byte(index)
		text.WriteByte(' ')
		text.WriteString(words[int(position)%len(words)])
	}
	return text.String()
}

func quoteLastUser(messages []json.RawMessage) string {
	for index := len(messages) - 1; index >= 0; index-- {
		var last message
		if json.Unmarshal(messages[index], &last) != nil || last.Role != "user" {
			continue
		}
		runes := []rune(last.Content)
		return strconv.QuoteToASCII(string(runes[:min(quotedRunes, len(runes))]))
	}
	return `""`
}

func limitTokens(text string, maxTokens uint64) string {
	if maxTokens == 0 {
		maxTokens = DefaultMaxTokens
	}
	if uint64(tokensOf(len(text))) <= maxTokens {
		return text
	}
	return text[:maxTokens*bytesPerToken]
}
