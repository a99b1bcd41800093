package membership

// EventKind says what changed.
type EventKind uint8

// Kinds of events.
const (
	// Joined: a node, or a new incarnation of one, is alive.
	Joined EventKind = iota
	// Leaving: a node said that it is leaving.
	Leaving
	// Suspected: a node didn't answer this node.
	Suspected
	// Left: a node is gone.
	Left
	// EngineChanged: an engine, or a machine of that name, is leaving or no
	// longer leaving.
	EngineChanged
	// NameTaken: another process claims this node's name.
	NameTaken
)

// String returns the kind's name.
func (k EventKind) String() string {
	switch k {
	case Joined:
		return "joined"
	case Leaving:
		return "leaving"
	case Suspected:
		return "suspected"
	case Left:
		return "left"
	case EngineChanged:
		return "engine_changed"
	default:
		return "name_taken"
	}
}

// Event is one change of the view.
type Event struct {
	Kind EventKind
	// Member is set for changes of nodes.
	Member Member
	// Engine and EngineLeaving are set for EngineChanged.
	Engine        string
	EngineLeaving bool
}

func (g *Gossip) recordEvent(event Event) {
	g.events = append(g.events, event)
}

// TakeEvents returns the changes since its last call, in order.
func (g *Gossip) TakeEvents() []Event {
	events := g.events
	g.events = nil
	return events
}
