package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// modelRequest is a request that several clients may send at the same time.
type modelRequest struct {
	fingerprint Fingerprint
	tries       []modelTry
}

// modelTry is a try under which an instance ended.
type modelTry struct{ sent, ended time.Time }

// longestRow returns the greatest number of tries of which each was sent after the end of
// the one before.
func (r *modelRequest) longestRow() int {
	longest := 0
	rows := make([]int, len(r.tries))
	for index, try := range r.tries {
		rows[index] = 1
		for earlier, before := range r.tries[:index] {
			if !try.sent.Before(before.ended.Add(-reportSkew)) {
				rows[index] = max(rows[index], rows[earlier]+1)
			}
		}
		longest = max(longest, rows[index])
	}
	return longest
}

// model is a system of gateways and storage nodes whose messages are lost now and then.
type model struct {
	*rapid.T
	cluster  *cluster
	gateways []*Client
	// cursors are those of each gateway at each node.
	cursors  []map[string]Cursor
	requests []*modelRequest
	// isLossy makes messages be lost.
	isLossy bool
}

// drawLosses draws which messages of the next call are lost.
func (m *model) drawLosses() {
	lost := make(map[string][2]bool)
	for _, address := range m.cluster.members {
		if m.isLossy {
			kind := rapid.IntRange(0, 5).Draw(m.T, "loss")
			lost[address] = [2]bool{kind == 0, kind == 1}
		}
	}
	m.cluster.lose = func(address string) (bool, bool) { return lost[address][0], lost[address][1] }
}

func (m *model) addGateway() {
	m.gateways = append(m.gateways, newGateway(m.cluster))
	m.cursors = append(m.cursors, make(map[string]Cursor))
}

// restartGateway replaces a gateway by one that knows nothing.
func (m *model) restartGateway() {
	index := m.anyGateway()
	m.gateways[index], m.cursors[index] = newGateway(m.cluster), make(map[string]Cursor)
}

func (m *model) anyGateway() int { return rapid.IntRange(0, len(m.gateways)-1).Draw(m.T, "gateway") }

func (m *model) restartNode() {
	address := rapid.SampledFrom(m.cluster.members).Draw(m.T, "node")
	if m.cluster.tables[address] == nil {
		m.cluster.start(address)
		return
	}
	m.cluster.stop(address)
}

// follow lets a gateway read what changed at a node.
func (m *model) follow(gateway int, address string) {
	changes, err := m.cluster.WatchCrashes(m.Context(), address, m.gateways[gateway].id, m.cursors[gateway][address], 0)
	if err != nil {
		return
	}
	m.gateways[gateway].learn(m.Context(), address, changes)
	m.cursors[gateway][address] = changes.Next
}

// followSome lets some gateways read from some nodes.
func (m *model) followSome() {
	m.drawLosses()
	m.follow(m.anyGateway(), rapid.SampledFrom(m.cluster.members).Draw(m.T, "node"))
}

// crash sends a request, unless it is refused, and lets the instance end under it.
func (m *model) crash() {
	one := rapid.SampledFrom(m.requests).Draw(m.T, "request")
	gateway := m.gateways[m.anyGateway()]
	m.drawLosses()
	known := gateway.Suspicion(m.Context(), one.fingerprint).Crashes
	gateway.running.Wait()
	if IsQuarantined(known) {
		return
	}
	sent := m.cluster.now
	// Other clients that ask the same may have sent it before.
	if before := rapid.IntRange(0, 50).Draw(m.T, "ms"); before > 0 {
		sent = sent.Add(-time.Duration(before) * time.Millisecond)
		known = 0
	}
	m.cluster.now = m.cluster.now.Add(time.Millisecond)
	one.tries = append(one.tries, modelTry{sent: sent, ended: m.cluster.now})
	m.drawLosses()
	gateway.Report(m.Context(), Crash{
		Fingerprint: one.fingerprint, Instance: fmt.Sprint(m.cluster.now.UnixNano()), SentAgo: m.cluster.now.Sub(sent), Known: known,
	})
	gateway.running.Wait()
}

// complete ends a try of a request normally.
func (m *model) complete() {
	one := rapid.SampledFrom(m.requests).Draw(m.T, "request")
	gateway := m.gateways[m.anyGateway()]
	m.drawLosses()
	gateway.Completed(m.Context(), one.fingerprint)
	gateway.running.Wait()
}

// check holds what gateways know against what the tables have.
func (m *model) check() {
	m.cluster.lose = func(string) (bool, bool) { return false, false }
	for _, one := range m.requests {
		most := 0
		for _, table := range m.cluster.tables {
			most = max(most, table.Find(one.fingerprint).Crashes)
		}
		assert.Assert(m.T, most <= one.longestRow(), "%d crashes counted, %d tries in a row", most, one.longestRow())
		for index, gateway := range m.gateways {
			for _, address := range m.cluster.members {
				m.follow(index, address)
			}
			known := gateway.Suspicion(m.Context(), one.fingerprint).Crashes
			gateway.running.Wait()
			assert.Assert(m.T, known >= min(most, MaxCrashes), "gateway %d knows of %d crashes, a storage node of %d", index, known, most)
			assert.Assert(m.T, known <= one.longestRow())
		}
	}
}

// TestNoGatewaySendsQuarantinedRequest guards against a gateway that sends a request though a
// storage node that it reaches knows of too many crashes, and against requests that are
// refused without as many tries in a row, over all orders of ends, lost messages and restarts.
func TestNoGatewaySendsQuarantinedRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{T: t, cluster: newCluster(rapid.SampledFrom([]int{3, 5}).Draw(t, "nodes"))}
		for range rapid.IntRange(1, 4).Draw(t, "gateways") {
			m.addGateway()
		}
		for number := range 3 {
			m.requests = append(m.requests, &modelRequest{fingerprint: FingerprintOf(fmt.Append(nil, number))})
		}
		steps := []func(){
			m.crash, m.crash, m.crash, m.complete, m.followSome, m.followSome, m.restartGateway, m.restartNode, m.check,
			func() { m.isLossy = !m.isLossy },
			func() {
				m.cluster.now = m.cluster.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
		}
		for range 40 {
			rapid.SampledFrom(steps).Draw(t, "step")()
		}
		m.check()
	})
}
