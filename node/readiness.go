package node

import (
	"context"
	"errors"
)

// Names of the checks of /readyz, in the order in which it lists them.
const (
	checkNameConfiguration = "configuration"
	checkNameShards        = "shards"
	checkNameReplicas      = "replicas"
	checkNameServing       = "serving"
)

var (
	errNoConfiguration = errors.New("no configuration yet")
	errNoShards        = errors.New("no shard map yet")
	errDraining        = errors.New("draining")
)

func (n *Node) addReadinessChecks() {
	n.readiness.Add(checkNameConfiguration, n.checkConfiguration)
	n.readiness.Add(checkNameShards, n.checkShards)
	n.readiness.Add(checkNameReplicas, n.repair.Check)
	n.readiness.Add(checkNameServing, n.checkServing)
}

func (n *Node) checkConfiguration(context.Context) error {
	if n.holder.Version() == 0 {
		return errNoConfiguration
	}
	return nil
}

func (n *Node) checkShards(context.Context) error {
	if _, found := n.views.View(0); !found {
		return errNoShards
	}
	return nil
}

func (n *Node) checkServing(context.Context) error {
	if n.isLeaving() {
		return errDraining
	}
	return nil
}

// knowsDeployment returns what the node still waits for before it can serve
// callers, or nil.
func (n *Node) knowsDeployment() error {
	ctx := context.Background()
	if err := n.checkConfiguration(ctx); err != nil {
		return err
	}
	return n.checkShards(ctx)
}
