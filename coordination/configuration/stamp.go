package configuration

import (
	"encoding/json"
	"slices"
)

// Fields of a body that are set by commands only.
const (
	writtenByField = "written_by"
	deletedField   = "deleted"
)

// tombstone is the body of a removed object. A removal is a write, so that its
// command can be found again after a lost answer.
type tombstone struct {
	Deleted   bool       `json:"deleted"`
	WrittenBy *WrittenBy `json:"written_by,omitempty"`
}

// IsTombstone tells whether the body is that of a removed object.
func IsTombstone(body json.RawMessage) bool {
	var found tombstone
	// A body that can't be read is no tombstone; Decode reports what it is.
	_ = json.Unmarshal(body, &found)
	return found.Deleted
}

// Writer returns which command wrote the body; the zero value where none is
// stated.
func Writer(body json.RawMessage) WrittenBy {
	var found tombstone
	if json.Unmarshal(body, &found) != nil || found.WrittenBy == nil {
		return WrittenBy{}
	}
	return *found.WrittenBy
}

// Includes tells whether the command wrote this version or one of those before.
func (w WrittenBy) Includes(commandID string) bool {
	return w.CommandID == commandID || slices.Contains(w.Previous, commandID)
}

// next returns the mark of the command that writes after w.
func (w WrittenBy) next(commandID, operator string) WrittenBy {
	previous := w.Previous
	if w.CommandID != "" {
		previous = append([]string{w.CommandID}, previous...)
	}
	previous = previous[:min(len(previous), PreviousCommands)]
	return WrittenBy{CommandID: commandID, Operator: operator, Previous: previous}
}

// stamped returns the body with the mark.
func stamped(body json.RawMessage, mark WrittenBy) (json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		fields = make(map[string]json.RawMessage)
	}
	encoded, err := json.Marshal(mark)
	if err != nil {
		return nil, err
	}
	fields[writtenByField] = encoded
	return json.Marshal(fields)
}

// stampedTombstone returns the body of a removal with the mark.
func stampedTombstone(mark WrittenBy) (json.RawMessage, error) {
	return json.Marshal(tombstone{Deleted: true, WrittenBy: &mark})
}
