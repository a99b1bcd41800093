// Package measure measures a deployment in one process: what a turn costs
// beyond the engine's own time, in latency, requests between nodes and bytes.
package measure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"github.com/marblering/marblering/lab/deployment"
	"github.com/marblering/marblering/protocol/engineapi"
)

// TurnOptions describe a measurement of turns.
type TurnOptions struct {
	Zones    int
	Nodes    int
	Engines  int
	Programs int
	// Turns of each program, one after the other.
	Turns int
	// Concurrency is how many programs run at a time.
	Concurrency int
	// MessageBytes is the length of each user message.
	MessageBytes int
	OutputTokens uint64
	TimeScale    float64
	// DataFolders keeps replicas on disk, one folder a node.
	DataFolders []string
	// Wander sends each turn to another node; else a program stays at one.
	Wander bool
	Seed   uint64
}

// turnReport collects the times of one run; it is safe for concurrent use.
type turnReport struct {
	mutex   sync.Mutex
	through *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
	direct  *hdrhistogram.Histogram
	// added is the time through the system less that of the direct call of the
	// same length right after it.
	added *hdrhistogram.Histogram
	// addedFirst is the same for the time to the first text.
	addedFirst *hdrhistogram.Histogram
	byTurn     map[int]*hdrhistogram.Histogram
	counted    int
}

// Histograms count microseconds up to a minute with three digits.
const (
	highestMicroseconds = 60_000_000
	significantDigits   = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestMicroseconds, significantDigits)
}

func newTurnReport() *turnReport {
	return &turnReport{
		through: newHistogram(), first: newHistogram(), direct: newHistogram(), added: newHistogram(),
		addedFirst: newHistogram(),
		byTurn:     make(map[int]*hdrhistogram.Histogram),
	}
}

type sample struct {
	turn           int
	through, first time.Duration
	// direct and directFirst are of the direct call.
	direct, directFirst time.Duration
}

func (r *turnReport) add(taken sample) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counted++
	if r.byTurn[taken.turn] == nil {
		r.byTurn[taken.turn] = newHistogram()
	}
	added := max(taken.through-taken.direct, 0)
	return errors.Join(
		r.through.RecordValue(taken.through.Microseconds()),
		r.first.RecordValue(taken.first.Microseconds()),
		r.direct.RecordValue(taken.direct.Microseconds()),
		r.added.RecordValue(added.Microseconds()),
		r.addedFirst.RecordValue(max(taken.first-taken.directFirst, 0).Microseconds()),
		r.byTurn[taken.turn].RecordValue(added.Microseconds()),
	)
}

// Turns runs the measurement and prints its report.
func Turns(ctx context.Context, out io.Writer, options TurnOptions) (err error) {
	system, err := deployment.Start(ctx, deployment.Options{
		Zones: options.Zones, Nodes: options.Nodes, Engines: options.Engines, Shards: 16,
		Seed: options.Seed, TimeScale: options.TimeScale, DataFolders: options.DataFolders, Logger: zap.NewNop(),
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, system.Close()) }()
	before, err := readTraffic(system)
	if err != nil {
		return err
	}
	report := newTurnReport()
	if err := runPrograms(ctx, system, options, report); err != nil {
		return err
	}
	after, err := readTraffic(system)
	if err != nil {
		return err
	}
	return report.print(out, after.less(before))
}

func runPrograms(ctx context.Context, system *deployment.Deployment, options TurnOptions, report *turnReport) error {
	slots := make(chan struct{}, options.Concurrency)
	failures := make([]error, options.Programs)
	var group sync.WaitGroup
	for index := range options.Programs {
		slots <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			runner := &programRunner{system: system, options: options, report: report, index: index}
			failures[index] = runner.run(ctx)
		}()
	}
	group.Wait()
	return errors.Join(failures...)
}

// programRunner runs one program and, beside it, the same conversation
// directly at an engine.
type programRunner struct {
	system  *deployment.Deployment
	options TurnOptions
	report  *turnReport
	index   int
	chain   []json.RawMessage
}

func (p *programRunner) run(ctx context.Context) error {
	id, err := createProgram(ctx, p.address(0))
	if err != nil {
		return err
	}
	for turn := range p.options.Turns {
		if err := p.turn(ctx, id, turn); err != nil {
			return fmt.Errorf("program %d, turn %d: %w", p.index, turn+1, err)
		}
	}
	return endProgram(ctx, p.address(0), id)
}

func (p *programRunner) address(turn int) string {
	index := p.index
	if p.options.Wander {
		index += turn
	}
	return "http://" + p.system.Nodes[index%len(p.system.Nodes)].CallerAddress()
}

func (p *programRunner) turn(ctx context.Context, id string, turn int) error {
	text := fmt.Sprintf("program %d turn %d ", p.index, turn)
	text += strings.Repeat("x", max(0, p.options.MessageBytes-len(text)))
	through, first, err := streamTurn(ctx, p.address(turn), id, text, p.options.OutputTokens)
	if err != nil {
		return err
	}
	direct, directFirst, err := p.directTurn(ctx, turn, text)
	if err != nil {
		return err
	}
	return p.report.add(sample{turn: turn + 1, through: through, first: first, direct: direct, directFirst: directFirst})
}

// directTurn sends a conversation of the same length to an engine. Its first
// message differs, so that neither finds the other's context cached.
func (p *programRunner) directTurn(ctx context.Context, turn int, text string) (whole, first time.Duration, err error) {
	message, err := json.Marshal(chatMessage{Role: "user", Content: "D" + text[1:]})
	if err != nil {
		return 0, 0, err
	}
	p.chain = append(p.chain, message)
	client := engineapi.NewClient(http.DefaultClient)
	address := p.system.EngineAddresses[p.index%len(p.system.EngineAddresses)]
	began := time.Now()
	completion, err := client.Complete(ctx, address, engineapi.Request{
		RequestID: fmt.Sprintf("direct-%d-%d", p.index, turn),
		Model:     deployment.ModelName,
		Messages:  p.chain,
		MaxTokens: p.options.OutputTokens,
	}, func(string) error {
		if first == 0 {
			first = time.Since(began)
		}
		return nil
	})
	whole = time.Since(began)
	if err != nil {
		return 0, 0, err
	}
	answer, err := json.Marshal(chatMessage{Role: "assistant", Content: completion.Content})
	p.chain = append(p.chain, answer)
	return whole, first, err
}

// percentiles that are printed of each histogram.
var percentiles = []float64{50, 95, 99}

func (r *turnReport) print(out io.Writer, used traffic) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "turns measured\t", r.counted, "\t")
	fmt.Fprintln(table, "milliseconds\tp50\tp95\tp99\t")
	printRow(table, "through the system", r.through)
	printRow(table, "first text through the system", r.first)
	printRow(table, "directly at the engine", r.direct)
	printRow(table, "added a turn", r.added)
	printRow(table, "added to the first text", r.addedFirst)
	for _, turn := range []int{1, 2, 10, 88} {
		if histogram := r.byTurn[turn]; histogram != nil {
			printRow(table, fmt.Sprintf("added, turn %d", turn), histogram)
		}
	}
	fmt.Fprintln(table, "between nodes\trequests a turn\tbytes a turn\t")
	for _, procedure := range used.procedures() {
		counts := used[procedure]
		fmt.Fprintf(table, "%s\t%.2f\t%.0f\t\n", procedure,
			counts.requests/float64(r.counted), counts.bytes/float64(r.counted))
	}
	return table.Flush()
}

func printRow(out io.Writer, name string, histogram *hdrhistogram.Histogram) {
	fmt.Fprint(out, name)
	for _, percentile := range percentiles {
		fmt.Fprintf(out, "\t%.2f", float64(histogram.ValueAtPercentile(percentile))/1000)
	}
	fmt.Fprintln(out, "\t")
}
