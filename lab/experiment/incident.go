package experiment

import (
	"time"
)

// System prompts of the incident workload, in tokens.
const (
	triagePrompt  = 1200
	historyPrompt = 600
)

// historiesPerReport is how many meter histories a burst report pulls in.
const historiesPerReport = 10

func incidentBursts() workload {
	return workload{
		name: IncidentBursts,
		tenants: []tenantShare{
			{"dispatch", 0.5},
			{"night-shift", 0.2},
			{"van-app", 0.3},
		},
		kinds: []kindShare{
			{0.50, makeTriageChain},
			{0.30, makeBurstReport},
			{0.15, makeBranchingReport},
			{0.03, makeTriageLoop},
			{0.02, makeHangingTriage},
		},
		burst:     6,
		burstSpan: 4 * time.Second,
		deadline:  time.Minute,
		idle:      2 * time.Minute,
	}
}

// makeTriageChain is a chain of calls with tools in between.
func makeTriageChain(m *scriptMaker) *script {
	made := m.newScript("triage", triagePrompt, m.between(200, 900))
	for range m.between(3, 8) {
		made.steps = append(made.steps, m.toolStep())
	}
	return made
}

func (m *scriptMaker) toolStep() step {
	return step{
		newTokens:    m.between(80, 600),
		outputTokens: m.between(40, 160),
		pause:        m.pause(100*time.Millisecond, 3*time.Second),
	}
}

// makeBurstReport pulls in the histories of ten meters at once, groups what
// they say and drafts a ticket.
func makeBurstReport(m *scriptMaker) *script {
	made := m.newScript("triage", triagePrompt, m.between(300, 800))
	fetch := step{newTokens: 50, outputTokens: m.between(60, 120)}
	for range historiesPerReport {
		fetch.children = append(fetch.children, m.historyReader())
	}
	group := m.toolStep()
	group.newTokens += historiesPerReport * 120
	draft := step{newTokens: m.between(100, 300), outputTokens: m.between(150, 350)}
	made.steps = []step{fetch, group, draft}
	return made
}

func (m *scriptMaker) historyReader() *script {
	reader := m.newScript("history", historyPrompt, m.between(1500, 6000))
	for range m.between(1, 3) {
		reader.steps = append(reader.steps, m.toolStep())
	}
	return reader
}

// makeBranchingReport spawns sub-agents at two points of a chain.
func makeBranchingReport(m *scriptMaker) *script {
	made := makeTriageChain(m)
	made.kind = "branching"
	for i := range 2 {
		branch := &made.steps[i]
		for range m.between(2, 3) {
			branch.children = append(branch.children, m.historyReader())
		}
	}
	return made
}

// makeTriageLoop asks the same again without end.
func makeTriageLoop(m *scriptMaker) *script {
	made := makeTriageChain(m)
	made.kind = "loop"
	made.endless = true
	return made
}

// makeHangingTriage waits for a tool that never answers.
func makeHangingTriage(m *scriptMaker) *script {
	made := makeTriageChain(m)
	made.kind = "hanging"
	made.abandoned = true
	return made
}
