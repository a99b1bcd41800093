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

// defaultExplainWindow is how long before a request the other decisions of its nodes are
// shown.
const defaultExplainWindow = 2 * time.Second

func newExplainCommand() *cobra.Command {
	var window time.Duration
	var starts, tries bool
	command := &cobra.Command{
		Use:   "explain LOGFILE... ID",
		Short: "Explain from logs what happened to a request, a program or an instance",
		Long: "Prints the log lines that contain ID from the logs of several processes in chronological order,\n" +
			"the other decisions of the same nodes in that period, and a breakdown of the time spent on its\n" +
			"requests. With --starts and no ID, prints when each started process reached its dependencies; with\n" +
			"--tries and no ID, how the callers' tries ended. A LOGFILE of - is standard input.",
		Args: wrapArgsError(func(command *cobra.Command, arguments []string) error {
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
	command.Flags().DurationVar(&window, "window", defaultExplainWindow, "time before the request from which other decisions are shown")
	command.Flags().BoolVar(&starts, "starts", false, "summarize the starts of processes")
	command.Flags().BoolVar(&tries, "tries", false, "summarize how the tries of callers ended, by route and cause")
	return command
}

// withLogs opens the log files, calls report with them and closes them.
func withLogs(command *cobra.Command, paths []string, report func(logs []io.Reader, out io.Writer) error) error {
	logs, closeLogs, err := openLogs(command, paths)
	if err != nil {
		return err
	}
	defer closeLogs()
	return report(logs, command.OutOrStdout())
}

func explain(logs []io.Reader, id string, window time.Duration, out io.Writer) error {
	timeline, err := logfile.FindExcerpt(logs, id, window)
	if err != nil {
		return err
	}
	if len(timeline.Lines) == 0 {
		return merry.Errorf("no log line contains the ID %q", id)
	}
	printTimeline(out, timeline)
	return nil
}

func explainStarts(logs []io.Reader, out io.Writer) error {
	starts, err := logfile.FindStarts(logs)
	if err != nil {
		return err
	}
	if len(starts) == 0 {
		return merry.New("no process started in these logs")
	}
	for _, start := range starts {
		fmt.Fprintf(out, "%s  %s started\n", start.At.Format(time.RFC3339Nano), start.Node)
		for _, reached := range start.Milestones {
			fmt.Fprintf(out, "%+12.3fs  %s\n", reached.After.Seconds(), reached.Message)
		}
	}
	return nil
}

func explainTries(logs []io.Reader, out io.Writer) error {
	tries, err := logfile.SummarizeRequests(logs)
	if err != nil {
		return err
	}
	if len(tries) == 0 {
		return merry.New("no request ended in these logs")
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "route\tstatus\tcode\theld by\ttries\tmean s\tlongest s\tthen served\tthen failed\tthen none")
	for _, group := range tries {
		mean := group.TotalTime / time.Duration(group.Count)
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%.3f\t%.3f\t%d\t%d\t%d\n", group.Route, group.Status, codeName(group.Code), group.WaitCause,
			group.Count, mean.Seconds(), group.Longest.Seconds(), group.RetriesAnswered, group.RetriesFailed, group.NotRetried)
	}
	return table.Flush()
}

// codeName formats a result code as its number and name.
func codeName(code string) string {
	number, err := strconv.ParseUint(code, 10, 32)
	if err != nil {
		return code
	}
	return code + " " + result.Code(number).Info().Name
}

// openLogs opens the log files; the path - stands for standard input.
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

// printTimeline prints the log lines of the timeline, with times relative to its first
// line, followed by the time breakdown and the meaning of the result code.
func printTimeline(w io.Writer, timeline logfile.Excerpt) {
	start := timeline.Lines[0].Time
	for _, l := range timeline.Lines {
		printLine(w, start, l)
	}
	if len(timeline.Context) > 0 {
		fmt.Fprintln(w, "\nmeanwhile, at the same nodes:")
	}
	for _, l := range timeline.Context {
		printLine(w, start, l)
	}
	printTimes(w, timeline.TimeBreakdown())
	last := timeline.Lines[len(timeline.Lines)-1]
	number, err := strconv.ParseUint(last.Get("code"), 10, 32)
	if err != nil || number == 0 {
		return
	}
	info := result.Code(number).Info()
	fmt.Fprintf(w, "\ncode %d, %s: execution %s, repeat %s (docs/RESULT-CODES.md)\n", number, info.Name, info.Execution, info.Repeat)
}

// printTimes prints a breakdown of the time spent if there is more than one request.
func printTimes(w io.Writer, times logfile.TimeBreakdown) {
	if times.Answered+times.Failed < 2 {
		return
	}
	fmt.Fprintf(w, "\n%d requests answered and %d not, within %.3fs\n", times.Answered, times.Failed, times.Total.Seconds())
	for _, part := range []struct {
		name     string
		duration time.Duration
	}{
		{"history and budget", times.Preparing},
		{"until the first byte", times.Waiting},
		{"until the last event", times.Answering},
		{"keeping ended turns", times.Storing},
		{"requests not answered", times.Failing},
		{"no request under way", times.Idle},
	} {
		fmt.Fprintf(w, "%10.3fs  %s\n", part.duration.Seconds(), part.name)
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
