package objectapi

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/marblering/marblering/coordination/sleep"
)

// WrittenBy marks a body with the command that wrote it, so that a command
// whose answer was lost can tell its own write from another's.
type WrittenBy struct {
	CommandID string `json:"command_id"`
	Operator  string `json:"operator"`
	// Previous are the ids of the commands that wrote the versions before,
	// newest first.
	Previous []string `json:"previous,omitempty"`
}

// Includes tells whether the command wrote this version or one of those before.
func (w WrittenBy) Includes(commandID string) bool {
	return commandID != "" && (w.CommandID == commandID || slices.Contains(w.Previous, commandID))
}

// Writer returns the mark in a body; the zero value where it has none.
func Writer(body json.RawMessage) WrittenBy {
	var marked struct {
		WrittenBy WrittenBy `json:"written_by"`
	}
	// A body that isn't an object has no mark.
	_ = json.Unmarshal(body, &marked)
	return marked.WrittenBy
}

// Pause between the tries of PutResolved.
const (
	firstPause = 50 * time.Millisecond
	lastPause  = time.Second
)

// PutResolved is Put for a body that carries its command id in "written_by".
// Where the answer is lost it reads back and tries again until it knows, or
// until the context ends. A repeat of a command that was done before returns
// the object as it stands, which a later command may have written.
//
// Errors: *Conflict, *NotFound, *Refused and *Unavailable mean that the command
// wasn't done. *Unresolved means that it couldn't be found out.
func (c *Client) PutResolved(ctx context.Context, kind, name string, condition Condition, body json.RawMessage) (Object, error) {
	commandID := Writer(body).CommandID
	var lost *Unresolved
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		object, err := c.Put(ctx, kind, name, condition, body)
		if err == nil {
			return object, nil
		}
		var conflict *Conflict
		if errors.As(err, &conflict) {
			return settleConflict(conflict, commandID, lost)
		}
		var missing *NotFound
		if !errors.As(err, &lost) && lost == nil {
			return Object{}, err
		}
		if errors.As(err, &missing) {
			// Whoever removed the object removed the mark with it.
			return Object{}, lost
		}
		if sleep.For(ctx, pause) != nil {
			return Object{}, lost
		}
	}
}

// settleConflict decides what a conflict means for the command, where an
// earlier try may have been done.
func settleConflict(conflict *Conflict, commandID string, lost *Unresolved) (Object, error) {
	writer := Writer(conflict.Current.Body)
	if writer.Includes(commandID) {
		return conflict.Current, nil
	}
	if lost != nil && writer.CommandID == "" {
		// The present writer left no list of the commands before it.
		return Object{}, lost
	}
	return Object{}, conflict
}
