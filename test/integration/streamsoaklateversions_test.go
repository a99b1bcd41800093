package integration

import (
	"fmt"
	"math"
	"time"
)

// addInstance adds an instance whose entry tells its start or doesn't.
func (l *lateSoak) addInstance(version string) {
	l.addInstanceOf(soakService{
		name: "app", version: version, events: soakEvents, pause: soakEventPause, tellsStart: l.random.IntN(2) == 0,
	})
}

// nextVersion returns a new version, or one that is there or was before.
func (l *lateSoak) nextVersion() string {
	if l.random.IntN(3) > 0 {
		l.newest++
		return fmt.Sprint("v", l.newest)
	}
	return fmt.Sprint("v", 1+l.random.IntN(l.newest))
}

// takeIf removes the instances from the list that are chosen, unless they are all.
func (l *lateSoak) takeIf(limit int, isChosen func(*soakInstance) bool) (taken []*soakInstance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var left []*soakInstance
	for _, instance := range l.instances {
		if len(taken) < limit && isChosen(instance) {
			taken = append(taken, instance)
		} else {
			left = append(left, instance)
		}
	}
	if len(left) == 0 {
		return nil
	}
	l.instances = left
	return taken
}

// release replaces instances by those of another version, one by one. Some may stay.
func (l *lateSoak) release() bool {
	if l.isReleasing {
		return false
	}
	l.isReleasing = true
	version, rounds := l.nextVersion(), 1+l.random.IntN(soakInstances)
	if l.random.IntN(2) == 0 {
		l.unlessQuiet(2*time.Second, func() { l.killAllGateways() })
	}
	l.releaseNext(version, rounds)
	return true
}

func (l *lateSoak) releaseNext(version string, rounds int) {
	if rounds == 0 {
		l.isReleasing = false
		return
	}
	l.addInstance(version)
	for _, leaving := range l.takeIf(1, func(instance *soakInstance) bool { return instance.version != version }) {
		l.drain(leaving)
	}
	l.after(l.upTo(600*time.Millisecond), func() { l.releaseNext(version, rounds-1) })
}

func (l *lateSoak) drain(leaving *soakInstance) {
	l.putInstance(leaving, "draining")
	l.after(l.upTo(time.Second), func() {
		l.store.Remove("servers", leaving.Instance)
		l.closeInstance(leaving)
	})
}

// removeVersion lets all instances of a version leave or crash, with all gateways killed
// before or not. Others take their place, and the version may come back.
func (l *lateSoak) removeVersion() bool {
	if l.isReleasing {
		return false
	}
	version := l.anyVersion()
	other := l.otherVersion(version)
	if !l.isServed(other, time.Now()) {
		l.addInstance(other)
	}
	if l.random.IntN(2) == 0 {
		l.killAllGateways()
	}
	l.replaceBy(other, func(instance *soakInstance) bool { return instance.version == version })
	if l.random.IntN(3) == 0 {
		l.unlessQuiet(5*time.Second, func() { l.addInstance(version) })
	}
	return true
}

// replaceBy lets the chosen instances leave or crash and adds others.
func (l *lateSoak) replaceBy(version string, isChosen func(*soakInstance) bool) {
	leave := [](func(*soakInstance)){l.drain, l.end, l.crash}[l.random.IntN(3)]
	for _, leaving := range l.takeIf(math.MaxInt, isChosen) {
		leave(leaving)
	}
	for l.countInstances() < soakInstances {
		l.addInstance(version)
	}
}

// keepOneVersion lets all instances leave but those of one version, while all gateways are
// down, and disturbs nothing for lateQuiet. It waits for earlier faults to end.
func (l *lateSoak) keepOneVersion() bool {
	if len(l.steps) > 0 {
		return false
	}
	kept := l.anyVersion()
	if len(l.kept) > 0 {
		kept = l.kept[0].version
	}
	l.killAllGateways()
	l.quietUntil = time.Now().Add(lateQuiet)
	l.addInstance(kept)
	l.replaceBy(kept, func(instance *soakInstance) bool { return instance.version != kept })
	return true
}

func (l *lateSoak) countInstances() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.instances)
}

// anyVersion returns the version of a random instance.
func (l *lateSoak) anyVersion() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.instances[l.random.IntN(len(l.instances))].version
}

// otherVersion returns another version, of an instance if there is one.
func (l *lateSoak) otherVersion(version string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, instance := range l.instances {
		if instance.version != version {
			return instance.version
		}
	}
	l.newest++
	return fmt.Sprint("v", l.newest)
}

// end ends an instance whose entry is removed before.
func (l *lateSoak) end(leaving *soakInstance) {
	l.store.Remove("servers", leaving.Instance)
	l.closeInstance(leaving)
}

// crash ends an instance whose entry stays for a while.
func (l *lateSoak) crash(leaving *soakInstance) {
	l.closeInstance(leaving)
	l.after(l.upTo(time.Second), func() { l.store.Remove("servers", leaving.Instance) })
}
