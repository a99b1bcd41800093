package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
)

// Output is a form in which an answer is printed.
type Output string

// Forms of answers.
const (
	OutputTable Output = "table"
	OutputJSON  Output = "json"
)

// ParseOutput reads the name of a form.
func ParseOutput(name string) (Output, error) {
	switch output := Output(name); output {
	case OutputTable, OutputJSON:
		return output, nil
	}
	return "", merry.Errorf("output: %q isn't a form (allowed: %s, %s)", name, OutputTable, OutputJSON)
}

// Render writes an answer in the form.
func Render(writer io.Writer, answer Answer, output Output) error {
	if output == OutputJSON {
		encoder := json.NewEncoder(writer)
		encoder.SetEscapeHTML(false)
		return encoder.Encode(answer)
	}
	switch {
	case answer.Table != nil:
		return renderTable(writer, answer.Table)
	case answer.Explanation != nil:
		return renderExplanation(writer, answer.Explanation)
	case answer.Command != nil:
		return renderCommand(writer, answer.Command)
	}
	return nil
}

func renderTable(writer io.Writer, answer *TableAnswer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	names := make([]string, len(answer.Columns))
	for index, column := range answer.Columns {
		names[index] = strings.ToUpper(column.Name)
	}
	fmt.Fprintln(table, strings.Join(names, "\t"))
	for _, row := range answer.Rows {
		fmt.Fprintln(table, strings.Join(cellTexts(row), "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	rows := "rows"
	if len(answer.Rows) == 1 {
		rows = "row"
	}
	_, err := fmt.Fprintf(writer, "%d %s\n", len(answer.Rows), rows)
	if err != nil || answer.Incomplete == "" {
		return err
	}
	_, err = fmt.Fprintf(writer, "incomplete: %s\n", answer.Incomplete)
	return err
}

// cellTexts returns the cells as a table shows them, each on one line: an empty
// text as a dash, a duration in whole milliseconds.
func cellTexts(row Row) []string {
	texts := make([]string, len(row))
	for index, value := range row {
		shown := value.String()
		if value.kind == KindDuration {
			shown = time.Duration(value.integer).Round(time.Millisecond).String()
		}
		if shown == "" {
			shown = "-"
		}
		texts[index] = oneLine(shown)
	}
	return texts
}

func renderExplanation(writer io.Writer, answer *ExplanationAnswer) error {
	for _, part := range []*TableAnswer{answer.Program, answer.Call, answer.Calls} {
		if part == nil {
			continue
		}
		if err := renderTable(writer, part); err != nil {
			return err
		}
	}
	for _, decision := range answer.Decisions {
		if err := renderDecision(writer, decision); err != nil {
			return err
		}
	}
	if len(answer.Decisions) == 0 {
		fmt.Fprintln(writer, "no node remembers a choice of an engine")
	}
	if answer.Incomplete != "" {
		fmt.Fprintf(writer, "incomplete: %s\n", answer.Incomplete)
	}
	return nil
}

func renderDecision(writer io.Writer, decision Decision) error {
	engine := decision.Engine
	if engine == "" {
		engine = "none"
	}
	fmt.Fprintf(writer, "\n%s  node %s  call %d attempt %d  engine %s: %s\n",
		decision.At.UTC().Format(time.RFC3339Nano), decision.Node, decision.Sequence, decision.Attempt, engine, decision.Reason)
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, strings.Join(candidateColumns(), "\t")+"\t")
	for _, candidate := range decision.Candidates {
		fmt.Fprintln(table, strings.Join(candidateCells(candidate), "\t")+"\t")
	}
	return table.Flush()
}

func candidateColumns() []string {
	return []string{
		"ENGINE", "COST", "QUEUE", "PREFILL", "DECODE", "TRANSFER", "NETWORK",
		"INTERFERENCE", "WASTED", "EVICTION", "CACHED", "SOURCE", "REJECTED",
	}
}

func candidateCells(candidate Candidate) []string {
	cells := []string{candidate.Engine}
	for _, part := range []float64{
		candidate.Cost, candidate.Queue, candidate.Prefill, candidate.Decode, candidate.Transfer, candidate.Network,
		candidate.Interference, candidate.WastedCache, candidate.Eviction,
	} {
		cells = append(cells, strconv.FormatFloat(part, 'f', 3, 64))
	}
	return append(cells, strconv.FormatUint(candidate.CachedTokens, 10), orDash(candidate.Source), orDash(candidate.Rejected))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func renderCommand(writer io.Writer, answer *CommandAnswer) error {
	what := "done and in force"
	if answer.Repeated {
		what = "had been done by an earlier try and is in force"
	}
	line := fmt.Sprintf("%s %s: %s", answer.Verb, answer.Subject, what)
	if answer.Version > 0 {
		line += fmt.Sprintf("; version %d, configuration %d", answer.Version, answer.ConfigurationVersion)
	}
	_, err := fmt.Fprintf(writer, "%s; command id %q\n", line, answer.CommandID)
	return err
}
