package scale

// Usage is what one node's control used on average over a window.
type Usage struct {
	Nodes    int
	Engines  int
	Tenants  int
	Programs int
	// Copies of a record that are kept in the system, by the replication factor.
	Copies int
	// ChangesPerSecond of the configuration during the window.
	ChangesPerSecond float64
	// Core is the share of one processor core; the other ends of the requests to
	// engines and to the object API run in another process.
	Core float64
	// BytesPerSecond by other end, both directions.
	BytesPerSecond nodeBytes
	// HighestBytes are those of the node with the most, without its callers'.
	HighestBytes float64
	// MemoryMB is the node's part of its process's heap and stacks after a
	// collection, ResidentMB its part of the process's resident memory.
	MemoryMB   float64
	ResidentMB float64
	Goroutines float64
	// InForceSeconds is the longest time from a change's acceptance by the object
	// API until every node had it; 0 without changes.
	InForceSeconds float64
	// StartKB are the bytes of a node from its start to the window, without its
	// callers'.
	StartKB float64
	// ShardMapKB is the size of the object that holds the first replica sets.
	ShardMapKB float64
}

// ControlBytes is the sum over all other ends but the callers, per second.
func (u Usage) ControlBytes() float64 { return withoutCallers(u.BytesPerSecond) }

func withoutCallers(counts nodeBytes) float64 {
	total := 0.0
	for end, count := range counts {
		if end != callerEnd {
			total += count
		}
	}
	return total
}

const megabyte = 1 << 20

// usageBetween averages over the nodes of all groups.
func usageBetween(before, after []sample, nodes int) Usage {
	usage := Usage{Nodes: nodes, BytesPerSecond: make(nodeBytes)}
	share := 1 / float64(nodes)
	for index := range after {
		first, last := before[index], after[index]
		seconds := last.At.Sub(first.At).Seconds()
		usage.Core += (last.Processor - first.Processor).Seconds() / seconds * share
		usage.MemoryMB += float64(last.Memory) / megabyte * share
		usage.ResidentMB += float64(last.Resident) / megabyte * share
		usage.Goroutines += float64(last.Goroutines) * share
		for number, counts := range last.Nodes {
			usage.StartKB += withoutCallers(first.Nodes[number]) / 1024 * share
			node := make(nodeBytes)
			for end, count := range counts {
				node[end] = (count - first.Nodes[number][end]) / seconds
				usage.BytesPerSecond[end] += node[end] * share
			}
			usage.HighestBytes = max(usage.HighestBytes, withoutCallers(node))
		}
	}
	return usage
}
