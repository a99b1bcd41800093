package objectstore

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// machineHistoryLimit bounds how many past lists are kept for the lag.
const machineHistoryLimit = 4096

// Machine is one entry of the platform's list of machines.
type Machine struct {
	Name string `json:"name"`
	// Address is the machine's IP number, or ip:port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// MachineList is the answer of GET /machines.
type MachineList struct {
	Machines []Machine `json:"machines"`
}

// machineList keeps the machines and enough of the past to show a list that
// lags.
type machineList struct {
	mutex   sync.Mutex
	history []machineVersion
}

type machineVersion struct {
	since    time.Time
	machines []Machine
}

func newMachineList() *machineList {
	return &machineList{history: []machineVersion{{}}}
}

// at returns the list as it was at the moment.
func (l *machineList) at(moment time.Time) []Machine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for index := len(l.history) - 1; index > 0; index-- {
		if !l.history[index].since.After(moment) {
			return l.history[index].machines
		}
	}
	return l.history[0].machines
}

func (l *machineList) put(now time.Time, machine Machine) {
	l.change(now, machine.Name, func(machines []Machine) []Machine {
		return append(machines, machine)
	})
}

func (l *machineList) remove(now time.Time, name string) {
	l.change(now, name, func(machines []Machine) []Machine { return machines })
}

// change records a new list without the named machine, as edited.
func (l *machineList) change(now time.Time, name string, edit func([]Machine) []Machine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	latest := l.history[len(l.history)-1].machines
	machines := make([]Machine, 0, len(latest)+1)
	for _, machine := range latest {
		if machine.Name != name {
			machines = append(machines, machine)
		}
	}
	machines = edit(machines)
	slices.SortFunc(machines, func(a, b Machine) int { return cmp.Compare(a.Name, b.Name) })
	l.history = append(l.history, machineVersion{since: now, machines: machines})
	if len(l.history) > machineHistoryLimit {
		l.history = slices.Clone(l.history[1:])
	}
}
