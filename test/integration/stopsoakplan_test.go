package integration

import (
	"math/rand/v2"
	"slices"
	"time"
)

// stopAction is what a step of a stopPlan does.
type stopAction int

const (
	terminateGateway stopAction = iota
	// terminateAgain sends a second SIGTERM to a gateway that stops.
	terminateAgain
	hangUpGateway
	changeLimits
	killGateway
	startKilledGateway
	pauseGateway
	resumeGateway
	drainInstance
	crashInstance
	killStorage
	terminateStorage
	wipeStorage
	pauseStorage
	returnStorage
	silenceStore
	returnStore
)

func (a stopAction) String() string {
	return [...]string{
		"SIGTERM", "second SIGTERM", "SIGHUP", "limits", "kill", "start", "pause", "resume", "instance drains", "instance crashes",
		"storage killed", "storage SIGTERM", "storage wiped", "storage paused", "storage returns", "store silent", "store returns",
	}[a]
}

// stopStep is one step of a stopPlan.
type stopStep struct {
	at     time.Duration
	action stopAction
	// target is the index of the gateway or of the storage node, or chooses an instance or limits.
	target int
}

// stopPlan is everything that a seed draws.
type stopPlan struct {
	drainTimeout time.Duration
	// isMixed is set if unplanned faults come beside the planned work.
	isMixed bool
	steps   []stopStep
	// finalWipe is the storage node that loses its data folder in the final fault, or -1.
	finalWipe int
}

const (
	// storageCatchUp is how long a storage node counts as lost after its return.
	storageCatchUp = 4300 * time.Millisecond
	// storageStopBound is how long a storage node may take to stop.
	storageStopBound = 8 * time.Second
	// maxCompanionOffset is how far signals and changes are apart that come together.
	maxCompanionOffset = 300 * time.Millisecond
)

// stopPlanner draws a stopPlan.
type stopPlanner struct {
	plan   *stopPlan
	random *rand.Rand
	span   time.Duration
	now    time.Duration
	// gatewayFree is from when on each gateway is serving again.
	gatewayFree []time.Duration
	// storageFree is from when on no storage node is down, storageWhole from when on none
	// is catching up.
	storageFree, storageWhole time.Duration
	storeFree                 time.Duration
	storageNodes              int
}

// newStopPlan draws the faults of a seed. Odd seeds have planned work alone.
func newStopPlan(seed uint64, gateways, storageNodes int, span time.Duration) *stopPlan {
	random := rand.New(rand.NewPCG(seed, 2))
	plan := &stopPlan{drainTimeout: stopSoakDrain, isMixed: seed%4 == 2 || seed%4 == 3, finalWipe: -1}
	if seed%2 == 0 {
		plan.drainTimeout = time.Duration(3000+random.IntN(1001)) * time.Millisecond
	}
	if random.IntN(2) == 0 {
		plan.finalWipe = random.IntN(storageNodes)
	}
	p := &stopPlanner{plan: plan, random: random, span: span, gatewayFree: make([]time.Duration, gateways), storageNodes: storageNodes}
	draws := p.plannedDraws()
	if plan.isMixed {
		draws = append(draws, p.unplannedDraws()...)
	}
	for p.now < span {
		draws[random.IntN(len(draws))]()
		p.now += time.Duration(random.IntN(700)) * time.Millisecond
	}
	slices.SortStableFunc(plan.steps, func(a, b stopStep) int { return int(a.at - b.at) })
	return plan
}

func (p *stopPlanner) add(offset time.Duration, action stopAction, target int) {
	p.plan.steps = append(p.plan.steps, stopStep{p.now + offset, action, target})
}

// companion is a random offset of a signal or change that comes with another.
func (p *stopPlanner) companion() time.Duration {
	return time.Duration(p.random.Int64N(int64(maxCompanionOffset)))
}

// takeGateways returns up to count gateways that serve, which are taken until the span is
// over. One is left.
func (p *stopPlanner) takeGateways(count int, span time.Duration) []int {
	var free []int
	for index, from := range p.gatewayFree {
		if from <= p.now {
			free = append(free, index)
		}
	}
	p.random.Shuffle(len(free), func(a, b int) { free[a], free[b] = free[b], free[a] })
	taken := free[:max(0, min(count, len(free)-1))]
	for _, index := range taken {
		p.gatewayFree[index] = p.now + span
	}
	return taken
}

// takeStoppingGateways also leaves them the time to stop and to start.
func (p *stopPlanner) takeStoppingGateways(count int) []int {
	return p.takeGateways(count, p.plan.drainTimeout+2*time.Second)
}

func (p *stopPlanner) plannedDraws() []func() {
	return []func(){
		func() { p.terminate(1, nil) },
		func() { p.terminate(2+p.random.IntN(len(p.gatewayFree)), nil) },
		func() { p.terminate(1, func(g int) { p.add(p.companion()*5, terminateAgain, g) }) },
		func() { p.terminate(1, func(g int) { p.add(p.companion(), hangUpGateway, g) }) },
		func() { p.terminate(1, func(int) { p.add(p.companion(), changeLimits, p.random.IntN(1000)) }) },
		p.changeLimitsThenTerminate,
		p.storm,
		func() { p.add(0, hangUpGateway, p.random.IntN(len(p.gatewayFree))) },
		func() { p.add(0, changeLimits, p.random.IntN(1000)) },
		func() { p.add(0, drainInstance, p.random.IntN(1000)) },
	}
}

func (p *stopPlanner) unplannedDraws() []func() {
	return []func(){p.killGateway, p.killStopping, p.terminateStarting, p.pauseGateway, p.crashInstance, p.killStorage, p.killStorage, p.wipeStorage, p.silenceStore}
}

// terminate stops gateways at the same moment.
func (p *stopPlanner) terminate(count int, companion func(gateway int)) {
	for _, g := range p.takeStoppingGateways(count) {
		p.add(0, terminateGateway, g)
		if companion != nil {
			companion(g)
		}
	}
}

// changeLimitsThenTerminate stops a gateway just after a change and a SIGHUP.
func (p *stopPlanner) changeLimitsThenTerminate() {
	p.add(0, changeLimits, p.random.IntN(1000))
	for _, g := range p.takeStoppingGateways(1) {
		p.add(p.companion(), hangUpGateway, g)
		p.add(p.companion(), terminateGateway, g)
	}
}

// storm changes the limits several times in a row while all gateways get a SIGHUP and one
// stops.
func (p *stopPlanner) storm() {
	for range 3 + p.random.IntN(3) {
		p.add(p.companion(), changeLimits, p.random.IntN(1000))
	}
	for g := range p.gatewayFree {
		p.add(p.companion(), hangUpGateway, g)
	}
	p.terminate(1, nil)
}

func (p *stopPlanner) killGateway() {
	for _, g := range p.takeGateways(1, 2*time.Second) {
		p.add(0, killGateway, g)
		p.add(400*time.Millisecond, startKilledGateway, g)
	}
}

// killStopping kills a gateway while it stops.
func (p *stopPlanner) killStopping() {
	for _, g := range p.takeGateways(1, 4*time.Second) {
		p.add(0, terminateGateway, g)
		p.add(p.companion()*6, killGateway, g)
		p.add(2*time.Second, startKilledGateway, g)
	}
}

// terminateStarting kills a gateway and stops it as it starts again.
func (p *stopPlanner) terminateStarting() {
	for _, g := range p.takeStoppingGateways(1) {
		p.add(0, killGateway, g)
		p.add(400*time.Millisecond, startKilledGateway, g)
		p.add(400*time.Millisecond+p.companion()/3, terminateGateway, g)
	}
}

func (p *stopPlanner) pauseGateway() {
	for _, g := range p.takeGateways(1, 2*time.Second) {
		p.add(0, pauseGateway, g)
		p.add(900*time.Millisecond, resumeGateway, g)
	}
}

func (p *stopPlanner) crashInstance() { p.add(0, crashInstance, p.random.IntN(1000)) }

// killStorage kills, pauses or terminates one storage node, or kills all at once.
func (p *stopPlanner) killStorage() {
	if p.now < p.storageFree || p.isBeforeFinalWipe() {
		return
	}
	node, outage := p.random.IntN(p.storageNodes), 500*time.Millisecond
	switch p.random.IntN(4) {
	case 0:
		p.add(0, killStorage, node)
		p.add(outage, returnStorage, node)
	case 1:
		outage = time.Second
		p.add(0, pauseStorage, node)
		p.add(outage, returnStorage, node)
	case 2:
		outage = storageStopBound
		p.add(0, terminateStorage, node)
	case 3:
		for index := range p.storageNodes {
			p.add(0, killStorage, index)
			p.add(outage, returnStorage, index)
		}
	}
	p.storageFree = p.now + outage
	p.storageWhole = max(p.storageWhole, p.storageFree+storageCatchUp)
}

// wipeStorage removes the data folder of a storage node, if none is catching up.
func (p *stopPlanner) wipeStorage() {
	const outage = 500 * time.Millisecond
	if p.now < p.storageWhole || p.isBeforeFinalWipe() {
		return
	}
	node := p.random.IntN(p.storageNodes)
	p.add(0, wipeStorage, node)
	p.add(outage, returnStorage, node)
	p.storageFree = p.now + outage
	p.storageWhole = p.storageFree + storageCatchUp
}

// isBeforeFinalWipe reports whether a storage node that fails now may not have caught up
// when the final fault removes a data folder.
func (p *stopPlanner) isBeforeFinalWipe() bool {
	return p.plan.finalWipe >= 0 && p.now+storageStopBound/2+storageCatchUp > p.span
}

func (p *stopPlanner) silenceStore() {
	if p.now < p.storeFree {
		return
	}
	outage := time.Duration(500+p.random.IntN(1500)) * time.Millisecond
	p.add(0, silenceStore, 0)
	p.add(outage, returnStore, 0)
	p.storeFree = p.now + outage
}
