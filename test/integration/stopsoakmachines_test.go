package integration

import (
	"os"
	"slices"
	"sync"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// instanceLeaveDelay is how long an instance serves after its entry said that it drains.
	instanceLeaveDelay = 2500 * time.Millisecond
	// entryLingerTime is how long the entry of an instance outlives its crash.
	entryLingerTime = 700 * time.Millisecond
)

// instanceAt takes an instance of the service app from the list, unless few are left.
func (r *stopRun) instanceAt(choice int) *soakInstance {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var indexes []int
	for index, instance := range r.instances {
		if instance.service == "app" {
			indexes = append(indexes, index)
		}
	}
	if len(indexes) <= 3 {
		return nil
	}
	index := indexes[choice%len(indexes)]
	taken := r.instances[index]
	r.instances = slices.Delete(r.instances, index, index+1)
	return taken
}

// drainInstance replaces an instance by another one.
func (r *stopRun) drainInstance(choice int) {
	leaving := r.instanceAt(choice)
	if leaving == nil {
		return
	}
	r.addInstance("v1")
	r.putInstance(leaving, "draining")
	r.after(instanceLeaveDelay, func() {
		r.store.Remove("servers", leaving.Instance)
		r.closeInstance(leaving)
	})
}

func (r *stopRun) crashInstanceAt(choice int) {
	crashed := r.instanceAt(choice)
	if crashed == nil {
		return
	}
	r.closeInstance(crashed)
	r.after(entryLingerTime, func() {
		r.store.Remove("servers", crashed.Instance)
		r.addInstance("v1")
	})
}

func (r *stopRun) doStorage(action stopAction, m *storageMachine) {
	if action == returnStorage {
		if m.process.HasEnded() {
			m.start(r.t)
		}
		m.process.Resume()
		r.endDisruption(coreMachine)
		return
	}
	r.beginDisruption(coreMachine)
	switch action {
	case terminateStorage:
		m.process.Terminate()
		r.leaving = append(r.leaving, m)
	case pauseStorage:
		m.process.Pause(r.t)
	case wipeStorage:
		m.process.Kill()
		assert.NilError(r.t, os.RemoveAll(m.folder))
	default:
		m.process.Kill()
	}
}

// killAll kills all gateways and storage nodes at the same moment, removes the data folder
// of one if the plan says so, and starts all again.
func (r *stopRun) killAll() {
	var killed sync.WaitGroup
	for _, g := range r.gateways {
		r.beginDisruption(g.index)
		g.life.killed = time.Now()
		r.setAddress(g.index, "")
		killed.Go(g.process.Kill)
	}
	for _, m := range r.storage {
		killed.Go(m.process.Kill)
	}
	killed.Wait()
	if r.plan.finalWipe >= 0 {
		assert.NilError(r.t, os.RemoveAll(r.storage[r.plan.finalWipe].folder))
	}
	for _, m := range r.storage {
		m.start(r.t)
	}
	for _, g := range r.gateways {
		r.startGateway(g)
	}
}
