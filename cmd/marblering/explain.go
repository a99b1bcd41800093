package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/marblering/marblering/state/result"
	"github.com/marblering/marblering/telemetry/logfile"
)

// explainWindow is how long before a request other decisions of its nodes are
// shown.
const explainWindow = 2 * time.Second

func newExplainCommand() *cobra.Command {
	var window time.Duration
	var starts, tries bool
	command := &cobra.Command{
		Use:   "explain LOGFILE... ID",
		Short: "Tell from logs what became of a request, a program or an instance",
		Long: "Collects the lines that name ID from the logs of several processes, in the order of time, with\n" +
			"what the same nodes decided meanwhile, and adds up where the time of its requests went. With\n" +
			"--starts and no ID, tells when each process that started had what it depends on; with --tries and\n" +
			"no ID, how the tries of callers ended. A LOGFILE of - is standard input.",
		Args: usage(func(command *cobra.Command, arguments []string) error {
			if starts || tries {
				return cobra.MinimumNArgs(1)(command, arguments)
			}
			return cobra.MinimumNArgs(2)(command, arguments)
		}),
		RunE: func(command *cobra.Command, arguments []string) error {
			if starts {
				return withLogs(command, arguments, explainStarts)
			}
			if tries {
				return withLogs(command, arguments, explainTries)
			}
			last := len(arguments) - 1
			return withLogs(command, arguments[:last], func(logs []io.Reader, out io.Writer) error {
				return explain(logs, arguments[last], window, out)
			})
		},
	}
	command.Flags().DurationVar(&window, "window", explainWindow, "how long before the request other decisions are shown")
	command.Flags().BoolVar(&starts, "starts", false, "tell of the starts of processes")
	command.Flags().BoolVar(&tries, "tries", false, "tell how the tries of callers ended, by route and cause")
	return command
}

// withLogs opens the files, has the function read them, and closes them.
func withLogs(command *cobra.Command, paths []string, tell func(logs []io.Reader, out io.Writer) error) error {
	logs, closeLogs, err := openLogs(command, paths)
	if err != nil {
		return err
	}
	defer closeLogs()
	return tell(logs, command.OutOrStdout())
}

func explain(logs []io.Reader, id string, window time.Duration, out io.Writer) error {
	story, err := logfile.Find(logs, id, window)
	if err != nil {
		return err
	}
	if len(story.Lines) == 0 {
		return merry.Errorf("no line names %q", id)
	}
	printStory(out, story)
	return nil
}

func explainStarts(logs []io.Reader, out io.Writer) error {
	starts, err := logfile.Starts(logs)
	if err != nil {
		return err
	}
	if len(starts) == 0 {
		return merry.New("no process started in these logs")
	}
	for _, start := range starts {
		fmt.Fprintf(out, "%s  %s started\n", start.At.Format(time.RFC3339Nano), start.Node)
		for _, reached := range start.Reached {
			fmt.Fprintf(out, "%+12.3fs  %s\n", reached.After.Seconds(), reached.Message)
		}
	}
	return nil
}

func explainTries(logs []io.Reader, out io.Writer) error {
	tries, err := logfile.SummarizeTries(logs)
	if err != nil {
		return err
	}
	if len(tries) == 0 {
		return merry.New("no request ended in these logs")
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "route\tstatus\tcode\theld by\ttries\tmean s\tlongest s\tthen served\tthen failed\tthen none")
	for _, one := range tries {
		mean := one.HeldFor / time.Duration(one.Count)
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%.3f\t%.3f\t%d\t%d\t%d\n", one.Route, one.Status, codeName(one.Code), one.Held,
			one.Count, mean.Seconds(), one.Longest.Seconds(), one.ThenServed, one.ThenFailed, one.ThenNone)
	}
	return table.Flush()
}

// codeName adds its name to the number of a result code.
func codeName(code string) string {
	number, err := strconv.ParseUint(code, 10, 32)
	if err != nil {
		return code
	}
	return code + " " + result.Code(number).Info().Name
}

// openLogs opens the files, and standard input for a path of -.
func openLogs(command *cobra.Command, paths []string) (logs []io.Reader, closeAll func(), err error) {
	var files []*os.File
	closeAll = func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	for _, path := range paths {
		if path == "-" {
			logs = append(logs, command.InOrStdin())
			continue
		}
		file, err := os.Open(path)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		files = append(files, file)
		logs = append(logs, file)
	}
	return logs, closeAll, nil
}

// printStory writes the story, with times relative to its first line, and the meaning
// of its result code.
func printStory(w io.Writer, story logfile.Story) {
	start := story.Lines[0].Time
	for _, l := range story.Lines {
		printLine(w, start, l)
	}
	if len(story.Context) > 0 {
		fmt.Fprintln(w, "\nmeanwhile, at the same nodes:")
	}
	for _, l := range story.Context {
		printLine(w, start, l)
	}
	printTimes(w, story.Times())
	end := story.Lines[len(story.Lines)-1]
	number, err := strconv.ParseUint(end.Get("code"), 10, 32)
	if err != nil || number == 0 {
		return
	}
	info := result.Code(number).Info()
	fmt.Fprintf(w, "\ncode %d, %s: execution %s, repeat %s (docs/RESULT-CODES.md)\n", number, info.Name, info.Execution, info.Repeat)
}

// printTimes says where the time went, for more than one request.
func printTimes(w io.Writer, times logfile.Times) {
	if times.Answered+times.Failed < 2 {
		return
	}
	fmt.Fprintf(w, "\n%d requests answered and %d not, within %.3fs\n", times.Answered, times.Failed, times.Whole.Seconds())
	for _, part := range []struct {
		name string
		took time.Duration
	}{
		{"history and budget", times.Preparing},
		{"until the first byte", times.Waiting},
		{"until the last event", times.Answering},
		{"keeping ended turns", times.Storing},
		{"requests not answered", times.Failing},
		{"no request under way", times.Between},
	} {
		fmt.Fprintf(w, "%10.3fs  %s\n", part.took.Seconds(), part.name)
	}
}

func printLine(w io.Writer, start time.Time, l logfile.Line) {
	var fields []string
	for _, f := range l.Fields {
		switch f.Key {
		case "time", "level", "node", "zone", "msg":
		default:
			fields = append(fields, fmt.Sprintf("%s=%q", f.Key, f.Value))
		}
	}
	fmt.Fprintf(w, "%+9.3fs  %-22s %s  %s\n", l.Time.Sub(start).Seconds(), l.Get("node"), l.Get("msg"), strings.Join(fields, " "))
}
