package node

import "context"

// orderFollower carries out what operators ordered of this node: one that is to
// drain takes no new requests and no longer looks after shared tasks, until the
// order is taken back. It is a suture service.
type orderFollower struct {
	node *Node
}

// Serve follows the configuration until the context ends.
func (f *orderFollower) Serve(ctx context.Context) error {
	for {
		changed := f.node.holder.Changed()
		f.node.membership.SetLeaving(f.node.isLeaving())
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// isLeaving tells whether this node stops or is ordered to drain.
func (n *Node) isLeaving() bool { return n.draining.Load() || n.isOrderedToDrain() }

func (n *Node) isOrderedToDrain() bool {
	ordered, found := n.holder.Current().Node(n.settings.Name)
	return found && ordered.Draining
}
