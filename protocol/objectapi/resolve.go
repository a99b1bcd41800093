package objectapi

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/marblering/marblering/coordination/sleep"
)

// WrittenBy says in a body which command wrote it, so that a command whose
// answer was lost can tell its own write from another's.
type WrittenBy struct {
	CommandID string `json:"command_id"`
	// Operator is who gave the command.
	Operator string `json:"operator"`
	// Previous are the ids of the commands that wrote the versions before,
	// newest first.
	Previous []string `json:"previous,omitempty"`
}

// Includes tells whether the command wrote this version or one of those before
// it. The empty id wrote none.
func (w WrittenBy) Includes(commandID string) bool {
	return commandID != "" && (w.CommandID == commandID || slices.Contains(w.Previous, commandID))
}

// Writer returns which command wrote the body; the zero value where the body
// doesn't say.
func Writer(body json.RawMessage) WrittenBy {
	var marked struct {
		WrittenBy WrittenBy `json:"written_by"`
	}
	// A body that isn't an object doesn't say who wrote it.
	_ = json.Unmarshal(body, &marked)
	return marked.WrittenBy
}

// Pauses between the tries of PutResolved; each is twice the one before. Chosen,
// not measured.
const (
	firstPause   = 50 * time.Millisecond
	longestPause = time.Second
)

// PutResolved is Put for a body that carries its command id in "written_by".
// Where the answer is lost it sends the write again, until it knows whether the
// command was done or the context ends. A repeat of a command that was done
// before returns the object as it stands, which a later command may have written.
//
// *Conflict, *NotFound, *Refused and *Unavailable say that the command wasn't
// done, *Unresolved that PutResolved couldn't find out.
func (c *Client) PutResolved(ctx context.Context, kind, name string, condition Condition, body json.RawMessage) (Object, error) {
	commandID := Writer(body).CommandID
	var lost *UnknownOutcomeError
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		object, err := c.Put(ctx, kind, name, condition, body)
		if err == nil {
			return object, nil
		}
		var conflict *Conflict
		if errors.As(err, &conflict) {
			return settleConflict(conflict, commandID, lost)
		}
		var missing *NotFoundError
		if !errors.As(err, &lost) && lost == nil {
			return Object{}, err
		}
		if errors.As(err, &missing) {
			// The object was removed, and with it the word on who wrote it.
			return Object{}, lost
		}
		if sleep.For(ctx, pause) != nil {
			return Object{}, lost
		}
	}
}

// settleConflict decides what a conflict says of the command: it was done, it
// wasn't, or, where the answer of an earlier try was lost, nobody knows.
func settleConflict(conflict *Conflict, commandID string, lost *UnknownOutcomeError) (Object, error) {
	writer := Writer(conflict.Current.Body)
	if writer.Includes(commandID) {
		return conflict.Current, nil
	}
	if lost != nil && writer.CommandID == "" {
		// Whoever wrote this version left no list of the commands before it.
		return Object{}, lost
	}
	return Object{}, conflict
}
