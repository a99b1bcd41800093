package conversation

import (
	"bytes"
	"fmt"
	"sync/atomic"

	"github.com/marblering/marblering/state/turn"
)

// freeOutputBytes is the size up to which the output of a turn is kept however much all turns
// keep together.
const freeOutputBytes = 256 << 10

// Sizes of the pieces in which an output is kept.
const (
	minPieceBytes = 512
	maxPieceBytes = 64 << 10
)

// OutputError means that the output of a turn is too large to be kept, so that the turn can't be
// stored.
type OutputError struct {
	// Bytes is the size of the output, Total that of all turns in progress.
	Bytes, Total int64
}

// Error implements error.
func (e *OutputError) Error() string {
	return fmt.Sprintf("the output of the turn has %d bytes, of %d bytes of all turns", e.Bytes, e.Total)
}

// outputs counts the bytes of output that the turns in progress keep. It is safe for concurrent
// use.
type outputs struct {
	limit int64
	total atomic.Int64
}

// LimitOutputs limits the output that all turns in progress keep together, in bytes. It must be
// called before the first turn begins. Without a limit, only the size of each turn is limited.
func (s *Service) LimitOutputs(bytes int64) { s.outputs.limit = bytes }

// isOutputTooLarge decides whether a turn can't keep its output: it is too large to be stored
// together with its input, or all turns keep more than the limit and this one is large.
func isOutputTooLarge(output, input, total, limit int64) bool {
	if output+input > turn.MaxEncodedBytes {
		return true
	}
	return limit > 0 && total > limit && output > freeOutputBytes
}

// output is the output of a turn in pieces, so that it grows without being copied.
type output struct {
	pieces [][]byte
	size   int
}

// add appends the data.
func (o *output) add(data []byte) {
	o.size += len(data)
	for len(data) > 0 {
		last := len(o.pieces) - 1
		if last < 0 || len(o.pieces[last]) == cap(o.pieces[last]) {
			o.pieces = append(o.pieces, make([]byte, 0, o.pieceBytes()))
			last++
		}
		piece := o.pieces[last]
		added := min(len(data), cap(piece)-len(piece))
		o.pieces[last] = append(piece, data[:added]...)
		data = data[added:]
	}
}

// pieceBytes returns the size of the next piece.
func (o *output) pieceBytes() int { return min(max(o.size, minPieceBytes), maxPieceBytes) }

// join returns the whole output.
func (o *output) join() []byte { return bytes.Join(o.pieces, nil) }

// keep adds the data of an event to the output.
func (t *Turn) keep(data []byte) error {
	added := int64(len(data) + 1)
	size, total := int64(t.output.size)+added, t.service.outputs.total.Add(added)
	if isOutputTooLarge(size, int64(len(t.request.Input)), total, t.service.outputs.limit) {
		t.service.outputs.total.Add(-added)
		return &OutputError{Bytes: size, Total: total}
	}
	t.output.add(data)
	t.output.add([]byte{'\n'})
	return nil
}

// dropOutput ends the use of the output.
func (t *Turn) dropOutput() {
	t.service.outputs.total.Add(-int64(t.output.size))
	t.output = output{}
}
