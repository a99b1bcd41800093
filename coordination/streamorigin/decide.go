package streamorigin

import (
	"errors"
	"time"
)

var (
	// ErrUnknown means that nothing tells where the stream began: its client has to begin
	// it anew.
	ErrUnknown = errors.New("it isn't known at which software version the stream began")
	// ErrUnavailable means that storage nodes that may know it didn't answer.
	ErrUnavailable = errors.New("not all storage nodes that may know where the stream began have answered")
)

// maxListAge is the age at which a list of instances still counts as current. It exceeds
// the longest query that waits for changes.
const maxListAge = 3 * time.Second

// ListAge is the time since a gateway's list of instances was known to be current.
type ListAge struct {
	Age time.Duration
	// Known is false if the list never was.
	Known bool
}

// IsCurrent reports whether hardly any change of the list can be unknown.
func (a ListAge) IsCurrent() bool { return a.Known && a.Age <= maxListAge }

// IsNewerThan reports whether the list was known to be current after the stream was recorded, so
// that it has what the gateway knew that began the stream, unless that has left since.
func (a ListAge) IsNewerThan(finding Finding) bool { return a.Known && a.Age < finding.Age }

// Finding is what the storage nodes know of a stream.
type Finding struct {
	Known  bool
	Origin Origin
	Change uint32
	// Age is the age of the record.
	Age time.Duration
	// Answered is set if all nodes have answered, and none that there is a later replica set.
	Answered bool
}

// Decide returns where a stream goes on. Only a record tells: a client may resume a stream
// of any age, so that the versions that serve now, or have served for some time, don't
// show which one began it.
func Decide(finding Finding) (Origin, error) {
	switch {
	case finding.Known && finding.Origin != (Origin{}):
		return finding.Origin, nil
	case finding.Known || finding.Answered:
		return Origin{}, ErrUnknown
	}
	return Origin{}, ErrUnavailable
}
