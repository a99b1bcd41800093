package node

// followOrders carries out what operators ordered of this node: one that is to
// drain takes no new requests and no longer looks after shared tasks, until the
// order is taken back.
func (n *Node) followOrders() { n.membership.SetLeaving(n.isLeaving()) }

// isLeaving tells whether this node stops or is ordered to drain.
func (n *Node) isLeaving() bool { return n.draining.Load() || n.isOrderedToDrain() }

func (n *Node) isOrderedToDrain() bool {
	ordered, found := n.holder.Current().Node(n.settings.Name)
	return found && ordered.Draining
}
