package configuration

import "fmt"

// checkMinimum refuses a change that takes an engine from a pool which then has
// fewer than its minimum. It is about the change, not about what is in force: a
// pool may be short of engines because it is new or its minimum was raised.
func checkMinimum(changed Key, before, after *Snapshot) Faults {
	was, is := servingEngines(before), servingEngines(after)
	var faults Faults
	for _, pool := range after.Pools() {
		if is[pool.Name] >= was[pool.Name] || is[pool.Name] >= int(pool.MinimumEngines) {
			continue
		}
		faults = append(faults, Fault{
			Key:   changed,
			Field: bodyField,
			Problem: fmt.Sprintf("leaves pool/%s with %d engines that neither drain nor are stopped; allowed: %d or more, its minimum_engines",
				pool.Name, is[pool.Name], pool.MinimumEngines),
		})
	}
	return faults
}

// servingEngines counts the engines of each pool that may get work.
func servingEngines(snapshot *Snapshot) map[string]int {
	serving := make(map[string]int)
	for _, engine := range snapshot.Engines() {
		if !engine.Draining && !engine.Stopped {
			serving[engine.Pool]++
		}
	}
	return serving
}
