package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
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
	command := &cobra.Command{
		Use:   "explain LOGFILE... ID",
		Short: "Tell from logs what became of a request, a program or an instance",
		Long: "Collects the lines that name ID from the logs of several processes, in the order of time, with\n" +
			"what the same nodes decided meanwhile. A LOGFILE of - is standard input.",
		Args: usage(cobra.MinimumNArgs(2)),
		RunE: func(command *cobra.Command, arguments []string) error {
			last := len(arguments) - 1
			return explain(command, arguments[:last], arguments[last], window)
		},
	}
	command.Flags().DurationVar(&window, "window", explainWindow, "how long before the request other decisions are shown")
	return command
}

func explain(command *cobra.Command, paths []string, id string, window time.Duration) error {
	var logs []io.Reader
	for _, path := range paths {
		if path == "-" {
			logs = append(logs, command.InOrStdin())
			continue
		}
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer file.Close()
		logs = append(logs, file)
	}
	story, err := logfile.Find(logs, id, window)
	if err != nil {
		return err
	}
	if len(story.Lines) == 0 {
		return merry.Errorf("no line names %q", id)
	}
	printStory(command.OutOrStdout(), story)
	return nil
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
	end := story.Lines[len(story.Lines)-1]
	number, err := strconv.ParseUint(end.Get("code"), 10, 32)
	if err != nil || number == 0 {
		return
	}
	info := result.Code(number).Info()
	fmt.Fprintf(w, "\ncode %d, %s: execution %s, repeat %s (docs/RESULT-CODES.md)\n", number, info.Name, info.Execution, info.Repeat)
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
