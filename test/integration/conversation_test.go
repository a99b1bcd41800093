package integration

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/lab/engine"
	"github.com/marblering/marblering/lab/ledger"
)

// conversation is what a caller knows of a program: what it asked and what it
// was answered.
type conversation struct {
	program  string
	messages []json.RawMessage
	// prompts has the digest of each call's whole prompt by sequence number.
	prompts map[uint64]string
}

func newConversation(program string) *conversation {
	return &conversation{program: program, prompts: make(map[uint64]string)}
}

// ask notes the prompt of a call.
func (c *conversation) ask(t *testing.T, sequence uint64, text string) []json.RawMessage {
	t.Helper()
	prompt := append(c.messages[:len(c.messages):len(c.messages)], encode(t, userMessage(text)))
	digest, err := engine.ChainDigest(prompt)
	assert.NilError(t, err)
	c.prompts[sequence] = digest
	return prompt
}

// answer notes a call that was answered, and checks that the answer is the whole
// answer of one engine to the whole history.
func (c *conversation) answer(t *testing.T, s *system, r request, known outcome) {
	t.Helper()
	assert.Assert(t, known.whole, "call %q: %s", r.key, known)
	prompt := c.ask(t, known.sequence, r.text)
	s.checkAnswer(t, prompt, known.text)
	c.messages = append(prompt, encode(t, message{Role: "assistant", Content: known.text}))
}

// checkAnswer makes sure that the text is what one of the engines answers to the
// prompt, from its first byte to its last.
func (s *system) checkAnswer(t *testing.T, prompt []json.RawMessage, text string) {
	t.Helper()
	for index := range s.engines {
		if text == engine.ExpectedAnswer(seedOf(index), prompt, maxTokens) {
			return
		}
	}
	t.Fatalf("%q is no engine's whole answer to %s", text, prompt)
}

// say takes one turn of the conversation at the node.
func (c *conversation) say(t *testing.T, s *system, node int, r request) outcome {
	t.Helper()
	r.program = c.program
	known := s.answered(t, node, r)
	c.answer(t, s, r, known)
	return known
}

// attempt is one request that an engine took on.
type attempt struct {
	ledger.Entry
	engine   int
	program  string
	sequence uint64
	number   uint64
}

// attempts lists what the engines took on for the program and its sub-programs,
// engine by engine.
func (s *system) attempts(t *testing.T, root string) []attempt {
	t.Helper()
	var taken []attempt
	for index, stand := range s.engines {
		for _, entry := range stand.ledger(t) {
			made := parseAttempt(entry)
			made.engine = index
			inTree := made.program == root || strings.HasPrefix(made.program, root+".")
			if entry.Kind == ledger.Completion && entry.Outcome != ledger.Refused && inTree {
				taken = append(taken, made)
			}
		}
	}
	return taken
}

func parseAttempt(entry ledger.Entry) attempt {
	parts := strings.Split(entry.RequestID, "/")
	if len(parts) != 3 {
		return attempt{Entry: entry}
	}
	sequence, _ := strconv.ParseUint(parts[1], 10, 64)
	number, _ := strconv.ParseUint(parts[2], 10, 64)
	return attempt{Entry: entry, program: parts[0], sequence: sequence, number: number}
}

// runsOf counts the attempts of one call that an engine took on.
func (s *system) runsOf(t *testing.T, program string, sequence uint64) int {
	t.Helper()
	count := 0
	for _, made := range s.attempts(t, program) {
		if made.program == program && made.sequence == sequence {
			count++
		}
	}
	return count
}

// check makes sure that every prompt that an engine saw of the program was the
// history up to that call, in order and with nothing else in it.
func (c *conversation) check(t *testing.T, s *system) {
	t.Helper()
	seen := make(map[uint64]bool)
	for _, made := range s.attempts(t, c.program) {
		if made.program != c.program {
			continue
		}
		seen[made.sequence] = true
		assert.Equal(t, made.Digest, c.prompts[made.sequence], "prompt of call %d of %s at engine %d", made.sequence, c.program, made.engine+1)
	}
	for sequence := range c.prompts {
		assert.Assert(t, seen[sequence], "no engine saw call %d of %s", sequence, c.program)
	}
}
