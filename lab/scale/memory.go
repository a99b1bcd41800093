package scale

import (
	"os"
	"regexp"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// memoryDivisor is which part of the machine's memory the nodes may take.
const memoryDivisor = 2

var memoryTotal = regexp.MustCompile(`(?m)^MemTotal:\s+(\d+) kB$`)

// machineMemory is the whole memory in bytes, by proc(5).
func machineMemory() (uint64, error) {
	content, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, merry.Prepend(err, "reading the machine's memory")
	}
	match := memoryTotal.FindSubmatch(content)
	if match == nil {
		return 0, merry.New("reading the machine's memory: no MemTotal in /proc/meminfo")
	}
	kilobytes, err := strconv.ParseUint(string(match[1]), 10, 64)
	return kilobytes << 10, merry.Prepend(err, "reading the machine's memory")
}

// checkMemory refuses to go on where the nodes that have started hold so much
// that all of them would pass their part of the machine's memory.
func checkMemory(groups []*group, nodes int) error {
	machine, err := machineMemory()
	if err != nil {
		return err
	}
	samples, err := takeSamples(groups)
	if err != nil {
		return err
	}
	var resident uint64
	started := 0
	for _, taken := range samples {
		resident += taken.Resident
		started += len(taken.Nodes)
	}
	return checkResident(resident, started, nodes, machine)
}

func checkResident(resident uint64, started, nodes int, machine uint64) error {
	expected := resident / uint64(started) * uint64(nodes)
	if expected <= machine/memoryDivisor {
		return nil
	}
	return merry.Errorf("%d nodes hold %d MB, so %d would hold %d MB: more than half of the machine's %d MB",
		started, resident/megabyte, nodes, expected/megabyte, machine/megabyte)
}
