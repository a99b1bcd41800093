package settings

import (
	"fmt"
	"net/netip"
)

// listener is an address that the node listens on and its settings key.
type listener struct {
	key     string
	address netip.AddrPort
}

// checkCrossFields rejects values that are valid on their own but conflict with each
// other.
func checkCrossFields(l *loader[Settings], loaded Settings) error {
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

// checkAdvertise rejects an advertised address that peers can't reach.
func checkAdvertise(l *loader[Settings], loaded Settings) error {
	option := l.option("peer_advertise")
	advertised := loaded.PeerAdvertise
	if !advertised.IsValid() {
		if loaded.PeerListen.Addr().IsUnspecified() {
			return l.optionError(option, fmt.Sprintf("missing, while peer_listen is %v, which peers can't reach", loaded.PeerListen))
		}
		return nil
	}
	if advertised.Addr().IsUnspecified() || advertised.Port() == 0 {
		return l.optionError(option, fmt.Sprintf("peers can't reach %v", advertised))
	}
	return nil
}

// checkListeners rejects listeners whose addresses conflict.
func checkListeners(l *loader[Settings], loaded Settings) error {
	listeners := []listener{
		{"peer_listen", loaded.PeerListen},
		{"caller_listen", loaded.CallerListen},
		{"operator_listen", loaded.OperatorListen},
	}
	for i, later := range listeners {
		for _, earlier := range listeners[:i] {
			if addressesConflict(earlier.address, later.address) {
				problem := fmt.Sprintf("%v conflicts with %s, which is %v", later.address, earlier.key, earlier.address)
				return l.optionError(l.option(later.key), problem)
			}
		}
	}
	return nil
}

// addressesConflict reports whether the addresses can't be listened on at the same time.
// Port 0 never conflicts, since the system assigns a free port.
func addressesConflict(first, second netip.AddrPort) bool {
	if first.Port() != second.Port() || first.Port() == 0 {
		return false
	}
	return first.Addr() == second.Addr() || first.Addr().IsUnspecified() || second.Addr().IsUnspecified()
}

func checkTimeouts(l *loader[Settings], loaded Settings) error {
	if loaded.FailureTimeout < minHeartbeatsPerFailure*loaded.HeartbeatInterval {
		problem := fmt.Sprintf("%v is less than twice heartbeat_interval, which is %v", loaded.FailureTimeout, loaded.HeartbeatInterval)
		return l.optionError(l.option("failure_timeout"), problem)
	}
	if loaded.DrainTimeout < loaded.CallTimeout {
		problem := fmt.Sprintf("%v is less than call_timeout, which is %v", loaded.DrainTimeout, loaded.CallTimeout)
		return l.optionError(l.option("drain_timeout"), problem)
	}
	return nil
}
