// Package imports states which packages of the module may import which. Its
// test holds every package to it.
package imports

import "strings"

// Module is the path of the module.
const Module = "github.com/marblering/marblering"

// Kind is the part of the layout that a package belongs to.
type Kind int

// Kinds of packages. The layers stand in ascending order: one may import its
// own layer and those below.
const (
	Unplaced Kind = iota
	// Shared packages are imported from everywhere and import no others.
	Shared
	// Support packages are imported by nodes and commands only.
	Support
	State
	Coordination
	Protocol
	Transport
	Node
	// Platform translates between the product and the users' platform. Commands
	// alone import it.
	Platform
	Command
	// Bench packages (lab, test) import anything; nothing imports them but the
	// lab's command and tests.
	Bench
)

// labCommand is the one command that may import the lab.
const labCommand = "cmd/marblering-lab"

// KindOf returns the kind of a package, given its path in the module.
func KindOf(path string) Kind {
	if path == "state/result" || within(path, "api") {
		return Shared
	}
	top, _, _ := strings.Cut(path, "/")
	switch top {
	case "settings", "telemetry":
		return Support
	case "state":
		return State
	case "coordination":
		return Coordination
	case "protocol":
		return Protocol
	case "transport":
		return Transport
	case "node":
		return Node
	case "platform":
		return Platform
	case "cmd":
		return Command
	case "lab", "test":
		return Bench
	}
	return Unplaced
}

// Allowed reports whether the package at one path of the module may import the
// one at the other, in its code or (inTest) in its tests.
func Allowed(from, to string, inTest bool) bool {
	source, target := KindOf(from), KindOf(to)
	switch {
	case source == Unplaced || target == Unplaced:
		return false
	case from == to || target == Shared || source == Bench:
		return true
	case target == Bench:
		return inTest || within(from, labCommand)
	case target == Support:
		return source == Node || source == Command || source == Platform && inTest
	case source == Shared || source == Support:
		return false
	}
	return source >= target
}

func within(path, folder string) bool {
	return path == folder || strings.HasPrefix(path, folder+"/")
}
