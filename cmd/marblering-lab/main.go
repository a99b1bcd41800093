// Command marblering-lab runs stand-ins for the external systems, the demo and the
// experiments.
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

// runUntilSignal runs the command and cancels its context on the first SIGTERM or SIGINT.
// A second signal terminates the process immediately.
func runUntilSignal() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	return execute(ctx, newRootCommand(), os.Args[1:])
}
