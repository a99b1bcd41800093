package objectapi

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/marblering/marblering/coordination/sleep"
)

// WrittenBy records in a body which command wrote it, so that a command whose
// response was lost can recognize its own write.
type WrittenBy struct {
	CommandID string `json:"command_id"`
	// Operator names who issued the command.
	Operator string `json:"operator"`
	// Previous lists the ids of the commands that wrote earlier versions, newest
	// first.
	Previous []string `json:"previous,omitempty"`
}

// Includes reports whether the command wrote this version or one listed in
// Previous. It is false for an empty id.
func (w WrittenBy) Includes(commandID string) bool {
	return commandID != "" && (w.CommandID == commandID || slices.Contains(w.Previous, commandID))
}

// ParseWrittenBy returns the "written_by" field of the body, or the zero value if
// it has none.
func ParseWrittenBy(body json.RawMessage) WrittenBy {
	var header struct {
		WrittenBy WrittenBy `json:"written_by"`
	}
	// A body that isn't a JSON object has no such field.
	_ = json.Unmarshal(body, &header)
	return header.WrittenBy
}

// Exponential backoff between the attempts of PutWithRetry.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// PutWithRetry is Put for a body that carries its command id in "written_by". If
// the response is lost, it repeats the write until it knows whether the command
// was done or the context ends. Repeating a command that was already done returns
// the stored object, which a later command may have written.
//
// *ConflictError, *NotFoundError, *RejectedError and *UnavailableError mean that
// the command wasn't done; *UnknownOutcomeError means that it may have been.
func (c *Client) PutWithRetry(ctx context.Context, kind, name string, condition Condition, body json.RawMessage) (Object, error) {
	commandID := ParseWrittenBy(body).CommandID
	var lost *UnknownOutcomeError
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		object, err := c.Put(ctx, kind, name, condition, body)
		if err == nil {
			return object, nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return resolveConflict(conflict, commandID, lost)
		}
		var missing *NotFoundError
		if !errors.As(err, &lost) && lost == nil {
			return Object{}, err
		}
		if errors.As(err, &missing) {
			// The object was removed, and the record of its writers with it.
			return Object{}, lost
		}
		if sleep.For(ctx, backoff) != nil {
			return Object{}, lost
		}
	}
}

// resolveConflict determines from a conflict whether the command was done, wasn't
// done or, if the response to an earlier attempt was lost, may have been done.
func resolveConflict(conflict *ConflictError, commandID string, lost *UnknownOutcomeError) (Object, error) {
	writer := ParseWrittenBy(conflict.Current.Body)
	if writer.Includes(commandID) {
		return conflict.Current, nil
	}
	if lost != nil && writer.CommandID == "" {
		// This version doesn't record which commands wrote the earlier ones.
		return Object{}, lost
	}
	return Object{}, conflict
}
