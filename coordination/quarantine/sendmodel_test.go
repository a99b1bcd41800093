package quarantine

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// sendModel is a client whose tries come to any gateway, one after the other. Instances end
// under them in every way, and gateways are killed with sends open. Each question to the
// storage nodes, or its answer, is lost at one of them at most, another one each time. In other
// runs, no messages are lost and no gateways killed, but storage nodes start again.
type sendModel struct {
	*rapid.T
	cluster *cluster
	// hasRestarts is set if storage nodes start again. The gateways follow them then, and have
	// what changed before the cursors.
	hasRestarts bool
	cursors     map[followedNode]Cursor
	gateways    []*Client
	request     Fingerprint
	sends       int
	// ended counts the instances that have ended since a try was completed, unknowable those
	// under sends that were not announced, of gateways that were killed.
	ended, unknowable int
	// isOneInstance is set if all sends are at one instance, which starts again under its id.
	isOneInstance bool
	// late are the ends that have been seen but not yet reported.
	late []lateEnd
}

// lateEnd is the end of a process that its gateway reports later.
type lateEnd struct {
	gateway       *Client
	crash         Crash
	sentAt, endAt time.Time
}

// reportLate reports some of the ends that haven't been reported.
func (m *sendModel) reportLate() {
	for len(m.late) > 0 && rapid.Bool().Draw(m.T, "report") {
		next := m.late[0]
		m.late = m.late[1:]
		m.drawLoss()
		next.crash.SentAgo, next.crash.EndedAgo = m.cluster.now.Sub(next.sentAt), m.cluster.now.Sub(next.endAt)
		next.crash.SeenAfter = next.crash.EndedAgo
		next.gateway.Report(m.Context(), next.crash)
		next.gateway.running.Wait()
	}
}

func (m *sendModel) instance() string {
	if m.isOneInstance {
		return "i-1"
	}
	return fmt.Sprint("i-", m.sends)
}

// followedNode is a storage node that a gateway follows.
type followedNode struct {
	gateway *Client
	address string
}

// drawLoss draws at which node the next messages, or its answers, are lost.
func (m *sendModel) drawLoss() {
	lossy := rapid.SampledFrom(m.cluster.members).Draw(m.T, "lossy node")
	kind := rapid.IntRange(0, 2).Draw(m.T, "loss")
	if m.hasRestarts {
		kind = 0
	}
	m.cluster.lose = func(address string) (bool, bool) {
		return address == lossy && kind == 1, address == lossy && kind == 2
	}
}

// restartNode lets a storage node begin with a new table.
func (m *sendModel) restartNode() {
	m.cluster.start(rapid.SampledFrom(m.cluster.members).Draw(m.T, "restarted node"))
}

// follow tells all gateways what has changed at the nodes.
func (m *sendModel) follow() {
	for _, gateway := range m.gateways {
		for _, address := range m.cluster.members {
			at := followedNode{gateway, address}
			changes, _ := m.cluster.WatchCrashes(m.Context(), address, gateway.id, m.cursors[at], 0)
			gateway.learn(m.Context(), address, changes)
			gateway.running.Wait()
			m.cursors[at] = changes.Next
		}
	}
}

func (m *sendModel) pass(most int) {
	m.cluster.now = m.cluster.now.Add(time.Duration(rapid.IntRange(1, most).Draw(m.T, "ms")) * time.Millisecond)
}

// try sends the request unless it is refused.
func (m *sendModel) try() {
	index := rapid.IntRange(0, len(m.gateways)-1).Draw(m.T, "gateway")
	gateway := m.gateways[index]
	m.reportLate()
	m.drawLoss()
	known := gateway.Suspicion(m.Context(), m.request)
	gateway.running.Wait()
	if IsQuarantined(known.Suspected) {
		return
	}
	m.sends++
	send := Send{
		Fingerprint: m.request, ID: SendID(m.sends), Instance: m.instance(), IsOpen: true, Lifetime: suspectLifetime,
	}
	before, isAnnounced := gateway.Announce(m.Context(), send, known)
	gateway.running.Wait()
	if isAnnounced && IsQuarantined(before.Suspected) {
		gateway.Drop(m.Context(), send.Fingerprint, send.ID)
		gateway.running.Wait()
		return
	}
	sentAt := m.cluster.now
	m.pass(100)
	m.drawLoss()
	m.settle(index, send, sentAt, isAnnounced)
	gateway.running.Wait()
	m.pass(100)
}

// settle draws what becomes of a send.
func (m *sendModel) settle(index int, send Send, sentAt time.Time, isAnnounced bool) {
	gateway := m.gateways[index]
	sentAgo := m.cluster.now.Sub(sentAt)
	outcomes := []string{"crashes", "silent", "ends later", "runs on", "completed", "killed"}
	if m.hasRestarts {
		outcomes = outcomes[:5]
	}
	switch rapid.SampledFrom(outcomes).Draw(m.T, "outcome") {
	case "crashes":
		m.ended++
		gateway.Report(m.Context(), Crash{Fingerprint: m.request, Send: send.ID, Instance: send.Instance, SentAgo: sentAgo})
	case "silent":
		m.ended++
		send.SentAgo, send.IsOpen, send.MayHaveEnded = sentAgo, false, true
		gateway.Unresolve(m.Context(), send)
	case "ends later":
		m.ended++
		m.endLater(gateway, send, sentAt)
	case "killed":
		m.ended++
		if !isAnnounced {
			m.unknowable++
		}
		for _, table := range m.cluster.tables {
			lost, cancel := context.WithCancel(m.Context())
			cancel()
			table.Watch(lost, gateway.id, Cursor{}, 0)
		}
		m.late = slices.DeleteFunc(m.late, func(end lateEnd) bool { return end.gateway == gateway })
		m.gateways[index] = newGateway(m.cluster)
	case "runs on":
		if isAnnounced {
			gateway.Drop(m.Context(), send.Fingerprint, send.ID)
		}
	case "completed":
		gateway.Completed(m.Context(), m.request)
		m.ended, m.unknowable, m.late = 0, 0, nil
	}
}

// endLater ends the process of a send after its client has left. The gateway sees that it may have
// ended, and for certain only after later sends.
func (m *sendModel) endLater(gateway *Client, send Send, sentAt time.Time) {
	endAt := m.cluster.now
	m.pass(100)
	ranAfter := m.cluster.now.Sub(endAt)
	m.pass(100)
	send.SentAgo, send.EndedAgo, send.IsOpen = m.cluster.now.Sub(sentAt), m.cluster.now.Sub(endAt), false
	send.MayHaveEnded, send.RanAfter = true, ranAfter
	gateway.Unresolve(m.Context(), send)
	crash := Crash{Fingerprint: m.request, Send: send.ID, Instance: send.Instance, RanAfter: ranAfter}
	m.late = append(m.late, lateEnd{gateway: gateway, crash: crash, sentAt: sentAt, endAt: endAt})
}

// TestSendsWithoutOutcomeAreBounded guards against a request that is sent on after as many
// instances as may have ended under it, whether that was seen or not.
func TestSendsWithoutOutcomeAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &sendModel{
			T: t, cluster: newCluster(3), request: FingerprintOf([]byte("request")),
			hasRestarts: rapid.Bool().Draw(t, "restarts"), isOneInstance: rapid.Bool().Draw(t, "one instance"), cursors: make(map[followedNode]Cursor),
		}
		for range rapid.IntRange(1, 4).Draw(t, "gateways") {
			m.gateways = append(m.gateways, newGateway(m.cluster))
		}
		for range 30 {
			m.try()
			if m.hasRestarts {
				if rapid.Bool().Draw(t, "restart") {
					m.restartNode()
				}
				m.follow()
			}
			assert.Assert(t, m.ended <= MaxCrashes+m.unknowable, "%d instances have ended, %d of them unknowably", m.ended, m.unknowable)
		}
	})
}
