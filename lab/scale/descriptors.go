package scale

import (
	"syscall"

	"github.com/ansel1/merry/v2"
)

// Open files of a node, by the connection pools of node/wire.go.
const (
	// peerPool is how many connections to peers a node keeps open; as many
	// others keep one to it.
	peerPool = 64
	// otherFiles are listeners and connections to engines and the object API.
	otherFiles = 24
	// processFiles are those of the process itself, with a reserve for
	// connections that are closing.
	processFiles = 500
)

// checkDescriptors refuses a group that would run out of open files half way:
// its nodes would wait for each other without end.
func checkDescriptors(nodes, nodesPerProcess int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return merry.Prepend(err, "reading the limit of open files")
	}
	return checkFiles(nodes, nodesPerProcess, limit.Cur)
}

func checkFiles(nodes, nodesPerProcess int, limit uint64) error {
	perNode := 2*min(nodes-1, peerPool) + otherFiles
	needed := uint64(min(nodes, nodesPerProcess)*perNode + processFiles)
	if needed <= limit {
		return nil
	}
	return merry.Errorf("%d of %d nodes in one process need about %d open files, and the limit is %d: use fewer nodes a process",
		min(nodes, nodesPerProcess), nodes, needed, limit)
}
