package gateway

import (
	"go.uber.org/zap"

	"github.com/marblering/marblering/coordination/follow"
	"github.com/marblering/marblering/coordination/routetable"
)

// applyConfiguration makes a newer configuration the active one. An invalid one leaves the
// active one in place.
func (g *Gateway) applyConfiguration(snapshot follow.Snapshot) {
	decoded, found, err := g.dependencies.DecodeConfiguration(snapshot)
	if !found && err == nil {
		return
	}
	var table *routetable.Table
	if err == nil {
		table, err = routetable.NewTable(decoded)
	}
	if err != nil {
		g.configurationInvalid.Store(true)
		g.logger.Error("configuration refused", zap.Int64("revision", snapshot.At), zap.Error(err))
		return
	}
	isInstalled := g.activeTable.Install(table)
	// Cleared after the table was replaced, so that the earlier one never counts as the newest.
	g.configurationInvalid.Store(false)
	if !isInstalled {
		return
	}
	g.applyLimits(table.Limits())
	g.logger.Info("configuration in force", zap.Int64("version", table.Version()),
		zap.Int64("revision", snapshot.At), zap.Int("routes", table.RouteCount()))
}
