package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
)

// million scales token counts for reading.
const million = 1e6

// WriteTable writes the report for reading. Times are in seconds.
func (r *Report) WriteTable(w io.Writer) error {
	for _, capacity := range r.Capacities {
		fmt.Fprintf(w, "%s, %s: capacity %.3f programs/s (ideal %.3f)\n",
			capacity.Deployment, capacity.Workload, capacity.ProgramsPerSecond, capacity.IdealPerSecond)
	}
	fmt.Fprintln(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "deployment\tload\tfault\tpolicy\tprograms\tcompleted\tgoodput/s\t"+
		"p50 s\tp95 s\tp99 s\tqueue p95 s\ttotal p95 s\twasted Mtok\tevicted Mtok\tcomputed Mtok\tidle hold Mtok·s\tfairness\trefused\tmoved\t")
	for i := range r.Results {
		writeRow(table, &r.Results[i])
	}
	return merry.Wrap(table.Flush())
}

func writeRow(w io.Writer, result *Result) {
	fmt.Fprintf(w, "%s\t%.2f\t%s\t%s\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.0f\t%.3f\t%d\t%d\t\n",
		result.Deployment, result.Load, result.Fault, result.Policy,
		result.Programs, result.Completed, result.Goodput,
		result.Latency.P50, result.Latency.P95, result.Latency.P99, result.Queue.P95, result.Total.P95,
		float64(result.WastedTokens)/million, float64(result.EvictedTokens)/million,
		float64(result.ComputedTokens)/million, result.UnusedHoldTokenSeconds/million,
		result.Fairness, result.Refusals, result.Transfers)
}

// WriteJSON writes the whole report.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return merry.Wrap(encoder.Encode(r))
}
