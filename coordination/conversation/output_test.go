package conversation_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/coordination/conversation"
	"github.com/marblering/marblering/state/turn"
)

const outputEventBytes = 64 << 10

func newOutputService(limit int64) *conversation.Service {
	service := conversation.New(nil, nil, func() bool { return false }, time.Now, nil, zap.NewNop())
	service.LimitOutputs(limit)
	return service
}

func beginRetained(t *testing.T, service *conversation.Service) *conversation.Turn {
	t.Helper()
	begun, failure := service.Begin(t.Context(), conversation.Request{ID: "t", Program: "p", Retained: true, Input: []byte("input"), Timeout: time.Minute})
	assert.Assert(t, failure == nil, "%v", failure)
	return begun
}

// fill adds events until one is refused or the output has the size. It returns the size.
func fill(t *testing.T, turn *conversation.Turn, size int) (kept int, err error) {
	t.Helper()
	data := bytes.Repeat([]byte("x"), outputEventBytes-1)
	for kept < size {
		if err := turn.Event(data); err != nil {
			return kept, err
		}
		kept += outputEventBytes
	}
	return kept, nil
}

// TestOutputOfATurnIsBounded guards against a turn that keeps more output than can be stored, and
// against the refusal of one that can be.
func TestOutputOfATurnIsBounded(t *testing.T) {
	kept, err := fill(t, beginRetained(t, newOutputService(0)), 2*turn.MaxEncodedBytes)
	var tooLarge *conversation.OutputError
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
	assert.Equal(t, kept, turn.MaxEncodedBytes-outputEventBytes)
}

// TestOutputsOfAllTurnsAreBounded guards against turns that together take the memory of a gateway,
// against the refusal of a turn of ordinary size beside them, and against memory that stays counted
// after its turn.
func TestOutputsOfAllTurnsAreBounded(t *testing.T) {
	const limit = 4 << 20
	service := newOutputService(limit)
	large, ordinary := beginRetained(t, service), beginRetained(t, service)
	kept, err := fill(t, large, 2*limit)
	assert.Assert(t, err != nil)
	assert.Equal(t, kept, limit)
	_, err = fill(t, ordinary, 256<<10)
	assert.NilError(t, err)
	large.End()
	_, err = fill(t, ordinary, 2<<20)
	assert.NilError(t, err)
	ordinary.End()
	kept, err = fill(t, beginRetained(t, service), 2*limit)
	assert.Assert(t, err != nil)
	assert.Equal(t, kept, limit)
}
