package membership

// EventKind is the kind of a change of the view.
type EventKind uint8

// Kinds of events.
const (
	// Joined reports that a node, or a new incarnation of it, is alive.
	Joined EventKind = iota
	// Leaving reports that a node announced that it is leaving.
	Leaving
	// Suspected reports that a node didn't answer this node.
	Suspected
	// Left reports that a node departed or was declared dead.
	Left
	// EngineChanged reports that an engine, or a machine of that name, is
	// leaving or no longer leaving.
	EngineChanged
	// NameTaken reports that another process uses this node's name.
	NameTaken
)

// String returns the kind's name, as the logs contain it.
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
