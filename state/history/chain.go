package history

import (
	"encoding/json"

	"github.com/ansel1/merry/v2"

	statev1 "github.com/marblering/marblering/api/state/v1"
)

// turnOverheadBytes is the estimated memory that a turn of a chain takes in addition to its
// messages and answer.
const turnOverheadBytes = 512

// Chain is the verified history of one program up to one turn. It is immutable:
// extending it returns a new chain that shares all the earlier turns, so the cost
// of adding a turn doesn't depend on the length of the history. A nil chain is
// the empty history.
type Chain struct {
	previous *Chain
	turn     *statev1.Turn
	digest   Digest
	// messages holds the messages of this turn only.
	messages []json.RawMessage
	// Totals of this turn and all earlier ones: bytes of memory, and tokens as
	// EstimateTokens counts them.
	turns        int
	messageCount int
	bytes        int
	tokens       uint64
}

// NewChain builds a chain from the turns that [Assemble] returned for the head with none
// missing. It returns [ErrBrokenChain] if the turns don't follow one another.
func NewChain(program string, head []byte, turns []*statev1.Turn) (*Chain, error) {
	var chain *Chain
	for i, turn := range turns {
		name := head
		if i+1 < len(turns) {
			name = turns[i+1].GetPrevious()
		}
		digest, err := ParseDigest(name)
		if err != nil {
			return nil, merry.Prependf(err, "turn %d of program %q", turn.GetSequence(), program)
		}
		chain, err = chain.Extend(program, turn, digest)
		if err != nil {
			return nil, err
		}
	}
	return chain, nil
}

// Extend returns the chain with one more turn, whose digest was returned by
// [Encode]. It returns [ErrBrokenChain] if the turn doesn't follow the chain. The turn must not be
// modified afterwards.
func (c *Chain) Extend(program string, turn *statev1.Turn, digest Digest) (*Chain, error) {
	if err := c.checkNext(program, turn); err != nil {
		return nil, err
	}
	messages, err := turnMessages(turn)
	if err != nil {
		return nil, err
	}
	return &Chain{
		previous:     c,
		turn:         turn,
		digest:       digest,
		messages:     messages,
		turns:        c.Len() + 1,
		messageCount: c.countMessages() + len(messages),
		bytes:        c.Bytes() + len(turn.GetMessages()) + len(turn.GetAnswer()) + turnOverheadBytes,
		tokens:       c.Tokens() + EstimateTokens(messages),
	}, nil
}

// checkNext returns ErrBrokenChain unless the turn follows the newest turn of the chain.
func (c *Chain) checkNext(program string, turn *statev1.Turn) error {
	if err := checkProgram(program, turn); err != nil {
		return err
	}
	if string(turn.GetPrevious()) != string(c.Head()) {
		return merry.Prependf(ErrBrokenChain, "turn %d of program %q has previous digest %x, want %x",
			turn.GetSequence(), program, turn.GetPrevious(), c.Head())
	}
	if c == nil {
		return nil
	}
	return checkOrder(c.turn, turn)
}

// Head returns the digest of the newest turn in the form that records store, or nil
// for the empty history.
func (c *Chain) Head() []byte {
	if c == nil {
		return nil
	}
	return c.digest.Bytes()
}

// Newest returns the last turn, or nil for the empty history. It must not be modified.
func (c *Chain) Newest() *statev1.Turn {
	if c == nil {
		return nil
	}
	return c.turn
}

// Len returns the number of turns.
func (c *Chain) Len() int {
	if c == nil {
		return 0
	}
	return c.turns
}

// Bytes returns the approximate memory size of the chain.
func (c *Chain) Bytes() int {
	if c == nil {
		return 0
	}
	return c.bytes
}

// Tokens returns the estimated number of tokens of all messages, as
// [EstimateTokens] counts them.
func (c *Chain) Tokens() uint64 {
	if c == nil {
		return 0
	}
	return c.tokens
}

func (c *Chain) countMessages() int {
	if c == nil {
		return 0
	}
	return c.messageCount
}

// Messages returns the whole conversation in order: the messages that the caller added
// in each turn, followed by the answer. They share the chain's memory and must not be
// modified; the slice itself is new.
func (c *Chain) Messages() []json.RawMessage {
	messages := make([]json.RawMessage, c.countMessages())
	end := len(messages)
	for link := c; link != nil; link = link.previous {
		end -= len(link.messages)
		copy(messages[end:], link.messages)
	}
	return messages
}

// Turns returns the turns in order. They must not be modified.
func (c *Chain) Turns() []*statev1.Turn {
	turns := make([]*statev1.Turn, c.Len())
	for link := c; link != nil; link = link.previous {
		turns[link.turns-1] = link.turn
	}
	return turns
}

// upTo returns the part of the chain that ends at the head. Found is false if no turn
// of the chain has this digest.
func (c *Chain) upTo(head []byte) (part *Chain, found bool) {
	if len(head) == 0 {
		return nil, true
	}
	for link := c; link != nil; link = link.previous {
		if string(link.digest[:]) == string(head) {
			return link, true
		}
	}
	return nil, false
}
