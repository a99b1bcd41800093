package experiment

import (
	"time"
)

// System prompts of the conversation workload, in tokens.
const (
	servicePrompt = 1800
	planPrompt    = 1500
	stockPrompt   = 800
)

func longConversations() workload {
	return workload{
		name: LongConversations,
		tenants: []tenantShare{
			{"roaster-1", 0.4},
			{"roaster-2", 0.3},
			{"roaster-3", 0.2},
			{"roaster-4", 0.1},
		},
		kinds: []kindShare{
			{0.78, makeConversation},
			{0.12, makePlan},
			{0.04, makeConversationLoop},
			{0.06, makeAbandoned},
		},
		burst:     2,
		burstSpan: 5 * time.Second,
		deadline:  3 * time.Minute,
		idle:      4 * time.Minute,
	}
}

// makeConversation alternates between users, who think for a while, and tools,
// which are quick. The context grows with every turn.
func makeConversation(m *scriptMaker) *script {
	made := m.newScript("conversation", servicePrompt, m.between(1500, 6000))
	for range m.between(6, 24) {
		made.steps = append(made.steps, m.conversationStep())
	}
	return made
}

func (m *scriptMaker) conversationStep() step {
	if m.chance(0.5) {
		return step{
			newTokens:    m.between(200, 1200),
			outputTokens: m.between(40, 150),
			pause:        m.pause(100*time.Millisecond, 2*time.Second),
		}
	}
	return step{
		newTokens:    m.between(30, 200),
		outputTokens: m.between(60, 220),
		pause:        m.pause(5*time.Second, 90*time.Second),
	}
}

// makePlan checks the stock in sub-agents and writes a long plan.
func makePlan(m *scriptMaker) *script {
	made := m.newScript("plan", planPrompt, m.between(3000, 8000))
	check := step{newTokens: 100, outputTokens: m.between(80, 160)}
	for range m.between(4, 6) {
		check.children = append(check.children, m.stockCheck())
	}
	write := step{newTokens: m.between(400, 900), outputTokens: m.between(300, 700), pause: time.Second}
	review := step{newTokens: m.between(100, 300), outputTokens: m.between(100, 300)}
	made.steps = []step{check, write, review}
	return made
}

func (m *scriptMaker) stockCheck() *script {
	made := m.newScript("stock", stockPrompt, m.between(500, 2500))
	for range m.between(2, 4) {
		made.steps = append(made.steps, m.toolStep())
	}
	return made
}

// makeConversationLoop asks the same again without end.
func makeConversationLoop(m *scriptMaker) *script {
	made := makeConversation(m)
	made.kind = "loop"
	made.endless = true
	last := &made.steps[len(made.steps)-1]
	last.pause = min(last.pause, 2*time.Second)
	return made
}

// makeAbandoned is a conversation whose user leaves without a word.
func makeAbandoned(m *scriptMaker) *script {
	made := makeConversation(m)
	made.kind = "abandoned"
	made.abandoned = true
	return made
}
