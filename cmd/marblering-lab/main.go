// Command marblering-lab runs the stand-ins of the outside systems, the demo
// and the experiments.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	os.Exit(runUntilSignal())
}

// runUntilSignal cancels the command at the first SIGTERM or SIGINT; a second
// one ends the process at once.
func runUntilSignal() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	return execute(ctx, newRootCommand(), os.Args[1:])
}
