package configuration

import (
	"encoding/json"

	"github.com/marblering/marblering/state/result"
)

// Change is one command of an operator on one object.
type Change struct {
	Key
	// Expected is the version that the object must have; 0 where it must not
	// exist.
	Expected uint64
	// Body is the object's new body; unused for a removal.
	Body json.RawMessage
	// Remove takes the object out.
	Remove bool
	// CommandID names the command: the same id again finds out what became of
	// it and does nothing twice.
	CommandID string
	// Operator is who gave the command.
	Operator string
	// Again is set where the command was asked for before and its operator
	// wasn't told the outcome: an earlier try may have been done, or may yet be.
	Again bool
}

// Accepted says that a change is in force: a majority of every replica set has
// installed it.
type Accepted struct {
	Key
	// Version of the object that the command wrote. A repeat of a command after
	// another one has changed the object gives the other one's version.
	Version uint64
	// ConfigurationVersion is the version that was installed.
	ConfigurationVersion uint64
	// Repeated is set where an earlier try of the command wrote the object.
	Repeated bool
}

// check refuses a change that can't be right whatever the store holds.
func (c Change) check() error {
	switch {
	case c.CommandID == "":
		return result.Errorf(result.BadRequest, "%s: the command has no command id", c.Key)
	case c.Operator == "":
		return result.Errorf(result.BadRequest, "%s: the command has no operator", c.Key)
	case !c.Kind.Known():
		return result.Errorf(result.BadRequest, "%s: %q isn't a kind; allowed: %q", c.Key, c.Kind, Kinds())
	case c.Kind == KindShardMap && (c.Remove || c.Expected != 0):
		return result.Errorf(result.InvalidConfiguration, "%s: the shard map is created once; allowed: a creation", c.Key)
	case c.Remove && c.Expected == 0:
		return result.Errorf(result.BadRequest, "%s: a removal needs the version of the object", c.Key)
	}
	return nil
}

// object returns what the change makes of the object, at the version.
func (c Change) object(version uint64) Object {
	return Object{Key: c.Key, Version: version, Body: c.Body, Deleted: c.Remove}
}

// body returns what is written to the store.
func (c Change) body(before WrittenBy) (json.RawMessage, error) {
	mark := before.next(c.CommandID, c.Operator)
	if c.Remove {
		return stampedTombstone(mark)
	}
	return stamped(c.Body, mark)
}

// compare checks the change against the object as it stands.
func (c Change) compare(current Object) error {
	exists := !current.Deleted
	switch {
	case c.Expected == 0 && exists:
		return conflictError(c, current)
	case c.Expected != 0 && !exists:
		return result.Errorf(result.UnknownObject, "%s: there is no such object%s", c.Key, removedBy(current))
	case c.Expected != 0 && c.Expected != current.Version:
		return conflictError(c, current)
	}
	return nil
}

// conflictError tells the loser of a race by what it lost.
func conflictError(change Change, current Object) error {
	writer := Writer(current.Body)
	if writer.CommandID == "" {
		return result.Errorf(result.VersionConflict,
			"%s is at version %d, not %d; it was written without a command id",
			change.Key, current.Version, change.Expected)
	}
	return result.Errorf(result.VersionConflict,
		"%s is at version %d, not %d; it was written by command %s of operator %s",
		change.Key, current.Version, change.Expected, writer.CommandID, writer.Operator)
}

func removedBy(current Object) string {
	writer := Writer(current.Body)
	if writer.CommandID == "" {
		return ""
	}
	return "; it was removed by command " + writer.CommandID + " of operator " + writer.Operator
}
