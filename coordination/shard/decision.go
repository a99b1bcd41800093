package shard

import (
	"context"
	"sync"

	"github.com/marblering/marblering/coordination/register"
)

// decisionViews is the register.Views of a client that decides the successor of one epoch.
// It always returns the view of that epoch, and calls onNewerView once a member reports a
// newer one.
type decisionViews struct {
	current     register.View
	onNewerView func()

	mutex  sync.Mutex
	newest register.View
}

var _ register.Views = (*decisionViews)(nil)

// View implements register.Views.
func (d *decisionViews) View(uint32) (register.View, bool) { return d.current, true }

// Learn implements register.Views.
func (d *decisionViews) Learn(view register.View) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if view.Epoch <= d.current.Epoch || view.Epoch <= d.newest.Epoch {
		return
	}
	d.newest = view
	d.onNewerView()
}

// ConfigurationVersion implements register.Views. Replicas ignore the version for
// successor registers.
func (d *decisionViews) ConfigurationVersion() uint64 { return 0 }

// LearnConfiguration implements register.Views.
func (d *decisionViews) LearnConfiguration(context.Context, uint64) {}

// newestView returns the newest view that a member reported, or the zero view.
func (d *decisionViews) newestView() register.View {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.newest
}
