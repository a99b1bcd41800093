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

// Finding is what the storage nodes know of a stream.
type Finding struct {
	Known  bool
	Origin Origin
	// Age is the age of the record.
	Age time.Duration
	// Answered is set if all nodes have answered.
	Answered bool
	// Excluded is set if no node has a record and all of them would, had there been one.
	Excluded bool
}

// SoleVersion is the only version of the service that a gateway knows.
type SoleVersion struct {
	Origin Origin
	// Known is set if the gateway knows exactly one version, and it is the only service
	// that the stream can have begun at.
	Known bool
	// For is how long the gateway has known no other version.
	For time.Duration
	// List is the age of the list of instances.
	List ListAge
}

// Decide returns where a stream that may be as old as lifetime goes on.
//
// A record decides. Without one, the stream goes on only at a version that has been the
// only one for as long as it can have lasted. Gateways don't always record streams of such
// a service. Either the storage nodes confirm that there is no record, or the gateway's
// list of instances is current.
func Decide(finding Finding, sole SoleVersion, lifetime time.Duration) (Origin, error) {
	switch {
	case finding.Known:
		return finding.Origin, nil
	case sole.Known && sole.For >= lifetime && (finding.Excluded || sole.List.IsCurrent()):
		return sole.Origin, nil
	case finding.Answered:
		return Origin{}, ErrUnknown
	}
	return Origin{}, ErrUnavailable
}
