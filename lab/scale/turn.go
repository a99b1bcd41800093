package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/marblering/marblering/lab/deployment"
	"github.com/marblering/marblering/protocol/callerapi"
	"github.com/marblering/marblering/protocol/callerapi/client"
)

// TurnOptions describe one point of the request path's measurement: programs
// that each send Turns calls of one message, in the whole histories' length.
type TurnOptions struct {
	Zones       int
	Nodes       int
	Engines     int
	Programs    int
	Turns       int
	Concurrency int
	// MessageBytes is the length of each user message.
	MessageBytes int
	OutputTokens uint64
	TimeScale    float64
	// OnDisk keeps the replicas in a temporary folder, which is removed after.
	OnDisk  bool
	Timeout time.Duration
}

// TurnUsage is what one turn cost the nodes, on average.
type TurnUsage struct {
	Turns        int
	MessageBytes int
	// OutputTokens that the engine really gave a turn; the first program, which
	// isn't measured otherwise, is included.
	OutputTokens float64
	// Processor of the nodes; callers, engines and object API run in another
	// process. It includes the nodes' control in that time.
	Processor time.Duration
	// Bytes by other end, both directions, summed over the nodes. Those between
	// peers are counted at both ends, as each node's link carries them.
	Bytes nodeBytes
	// DiskBytes that the replicas' files grew by, over all copies. A file grows
	// by doubling, so that a short run tells little.
	DiskBytes float64
	// MemoryKB that the nodes' heaps and stacks grew by.
	MemoryKB float64
	// PerSecond is the rate of turns that the run had.
	PerSecond float64
}

// MeasureTurns runs the programs and measures the nodes meanwhile.
func MeasureTurns(ctx context.Context, options TurnOptions) (TurnUsage, error) {
	return measureTurnsWith(ctx, launchProcess, options)
}

func measureTurnsWith(ctx context.Context, launch launcher, options TurnOptions) (usage TurnUsage, err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, options.Timeout,
		merry.Errorf("the turns took longer than the timeout of %v", options.Timeout))
	defer cancel()
	folder, folders, err := dataFolders(options)
	if err != nil {
		return TurnUsage{}, err
	}
	defer func() { err = errors.Join(err, context.Cause(ctx), os.RemoveAll(folder)) }()
	outside, err := deployment.Start(ctx, deployment.Options{
		Zones: options.Zones, Engines: options.Engines, Generations: []string{turnGeneration}, Seed: 1, TimeScale: options.TimeScale, Logger: zap.NewNop(),
	})
	if err != nil {
		return TurnUsage{}, err
	}
	defer func() { err = errors.Join(err, outside.Close()) }()
	nodes, _, err := startGroup(ctx, launch, groupOptions{
		Platform: outside.Platform, Nodes: options.Nodes, Zones: options.Zones, Shards: turnShards, DataFolders: folders,
	})
	if err != nil {
		return TurnUsage{}, err
	}
	defer func() { err = errors.Join(err, nodes.close()) }()
	return measureLoad(ctx, nodes, options, folder)
}

const (
	turnShards = 16
	// turnGeneration has room for several contexts of 310,000 tokens.
	turnGeneration = "gen5"
)

// dataFolders makes a folder for each node, or none.
func dataFolders(options TurnOptions) (folder string, folders []string, err error) {
	if !options.OnDisk {
		return "", nil, nil
	}
	folder, err = os.MkdirTemp("", "marblering-scale-")
	if err != nil {
		return "", nil, merry.Prepend(err, "making a folder for the replicas")
	}
	for index := range options.Nodes {
		folders = append(folders, filepath.Join(folder, fmt.Sprint(index)))
	}
	return folder, folders, nil
}

func measureLoad(ctx context.Context, nodes *group, options TurnOptions, folder string) (TurnUsage, error) {
	// A first program opens the connections.
	var tokens atomic.Uint64
	if err := runTurns(ctx, nodes.callers[0], -1, options, &tokens); err != nil {
		return TurnUsage{}, err
	}
	diskBefore, err := folderBytes(folder)
	if err != nil {
		return TurnUsage{}, err
	}
	before, err := nodes.exchange(groupRequest{Kind: requestSample})
	if err != nil {
		return TurnUsage{}, err
	}
	if err := runPrograms(ctx, nodes, options, &tokens); err != nil {
		return TurnUsage{}, err
	}
	after, err := nodes.exchange(groupRequest{Kind: requestSample})
	if err != nil {
		return TurnUsage{}, err
	}
	diskAfter, err := folderBytes(folder)
	if err != nil {
		return TurnUsage{}, err
	}
	usage := turnUsage(before.Sample, after.Sample, options)
	usage.OutputTokens = float64(tokens.Load()) / float64((options.Programs+1)*options.Turns)
	usage.DiskBytes = float64(diskAfter-diskBefore) / float64(options.Programs*options.Turns)
	return usage, nil
}

// runPrograms runs the programs, spread over the nodes.
func runPrograms(ctx context.Context, nodes *group, options TurnOptions, tokens *atomic.Uint64) error {
	var running errgroup.Group
	running.SetLimit(options.Concurrency)
	for index := range options.Programs {
		running.Go(func() error {
			return runTurns(ctx, nodes.callers[index%len(nodes.callers)], index, options, tokens)
		})
	}
	return running.Wait()
}

func turnUsage(before, after sample, options TurnOptions) TurnUsage {
	turns := options.Programs * options.Turns
	usage := TurnUsage{
		Turns: options.Turns, MessageBytes: options.MessageBytes,
		Processor: (after.Processor - before.Processor) / time.Duration(turns),
		Bytes:     make(nodeBytes),
		MemoryKB:  (float64(after.Memory) - float64(before.Memory)) / 1024 / float64(turns),
		PerSecond: float64(turns) / after.At.Sub(before.At).Seconds(),
	}
	for index, counts := range after.Nodes {
		for end, count := range counts {
			usage.Bytes[end] += (count - before.Nodes[index][end]) / float64(turns)
		}
	}
	return usage
}

// runTurns creates a program, streams its calls and counts the tokens of their
// answers. Its text depends on the index alone.
func runTurns(ctx context.Context, address string, index int, options TurnOptions, tokens *atomic.Uint64) error {
	node := client.New("http://"+address, deployment.APIKey, http.DefaultClient)
	program, err := node.CreateProgram(ctx, client.ProgramSpec{Model: deployment.ModelName, BudgetTokens: programBudget}, "")
	if err != nil {
		return merry.Prependf(err, "creating program %d", index)
	}
	random := rand.New(rand.NewPCG(1, uint64(index)))
	for turn := range options.Turns {
		content := prose(random, options.MessageBytes)
		answer, err := node.Stream(ctx, client.Call{
			Program:   program.ID,
			Messages:  []callerapi.Message{{Role: "user", Content: content}},
			MaxTokens: options.OutputTokens,
		}, nil)
		if err != nil {
			return merry.Prependf(err, "turn %d of program %d", turn+1, index)
		}
		tokens.Add(answer.Usage.CompletionTokens)
	}
	return nil
}

// folderBytes are the bytes of all files; zero for no folder.
func folderBytes(folder string) (int64, error) {
	if folder == "" {
		return 0, nil
	}
	var total int64
	err := filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if err != nil {
			return err
		}
		total += info.Size()
		return nil
	})
	return total, merry.Prepend(err, "measuring the replicas' files")
}

// PrintTurns writes one row a point.
func PrintTurns(out io.Writer, points []TurnUsage) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "a turn:\tturns\tmessage B\toutput tokens\tcore ms\tpeer B\tengine B\tcaller B\tdisk B\tlive KB\tturns/s\t")
	for _, point := range points {
		fmt.Fprintf(table, "\t%d\t%d\t%.0f\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.1f\t\n",
			point.Turns, point.MessageBytes, point.OutputTokens, point.Processor.Seconds()*1000,
			point.Bytes["peer"], point.Bytes["engine"], point.Bytes[callerEnd], point.DiskBytes, point.MemoryKB, point.PerSecond)
	}
	return table.Flush()
}
