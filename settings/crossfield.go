package settings

import (
	"fmt"
	"net/netip"
)

// listener is an address that the node opens.
type listener struct {
	key     string
	address netip.AddrPort
}

// checkPairs refuses values that are allowed by themselves but contradict each
// other.
func checkPairs(l *loader[Settings], loaded Settings) error {
	checks := []func(*loader[Settings], Settings) error{
		checkAdvertise,
		checkListeners,
		checkTimeouts,
	}
	for _, check := range checks {
		if err := check(l, loaded); err != nil {
			return err
		}
	}
	return nil
}

// checkAdvertise makes sure that peers are told an address they can reach.
func checkAdvertise(l *loader[Settings], loaded Settings) error {
	option := l.option("peer_advertise")
	advertised := loaded.PeerAdvertise
	if !advertised.IsValid() {
		if loaded.PeerListen.Addr().IsUnspecified() {
			return l.fault(option, fmt.Sprintf("missing, while peer_listen is %v, which peers can't reach", loaded.PeerListen))
		}
		return nil
	}
	if advertised.Addr().IsUnspecified() || advertised.Port() == 0 {
		return l.fault(option, fmt.Sprintf("peers can't reach %v", advertised))
	}
	return nil
}

// checkListeners refuses one address for two listeners.
func checkListeners(l *loader[Settings], loaded Settings) error {
	listeners := []listener{
		{"peer_listen", loaded.PeerListen},
		{"caller_listen", loaded.CallerListen},
		{"operator_listen", loaded.OperatorListen},
	}
	for i, later := range listeners {
		for _, earlier := range listeners[:i] {
			if collide(earlier.address, later.address) {
				problem := fmt.Sprintf("%v contradicts %s, which is %v", later.address, earlier.key, earlier.address)
				return l.fault(l.option(later.key), problem)
			}
		}
	}
	return nil
}

// collide reports whether both addresses can't be listened on at once. Port 0
// is replaced by a free one.
func collide(first, second netip.AddrPort) bool {
	if first.Port() != second.Port() || first.Port() == 0 {
		return false
	}
	return first.Addr() == second.Addr() || first.Addr().IsUnspecified() || second.Addr().IsUnspecified()
}

func checkTimeouts(l *loader[Settings], loaded Settings) error {
	if loaded.FailureTimeout < failureHeartbeats*loaded.HeartbeatInterval {
		problem := fmt.Sprintf("%v is less than twice heartbeat_interval, which is %v", loaded.FailureTimeout, loaded.HeartbeatInterval)
		return l.fault(l.option("failure_timeout"), problem)
	}
	if loaded.DrainTimeout < loaded.CallTimeout {
		problem := fmt.Sprintf("%v is less than call_timeout, which is %v", loaded.DrainTimeout, loaded.CallTimeout)
		return l.fault(l.option("drain_timeout"), problem)
	}
	return nil
}
