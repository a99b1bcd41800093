// Command marblering runs the daemons of the deployment, checks their settings files and
// provides the operator commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/marblering/marblering/node"
	"github.com/marblering/marblering/settings"
)

// nodeRunner runs a node until ctx is canceled and the node has shut down.
type nodeRunner func(ctx context.Context, loaded settings.Settings, logger *zap.Logger) error

func main() {
	os.Exit(runUntilSignal(node.Run))
}

// runUntilSignal runs the command and cancels its context on the first SIGTERM or SIGINT.
// Later SIGTERMs are ignored, so that they don't interrupt a drain; a later SIGINT exits
// immediately.
func runUntilSignal(run nodeRunner) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel()
		for received := range signals {
			if received == os.Interrupt {
				os.Exit(exitFailure)
			}
		}
	}()
	return execute(ctx, newRootCommand(run), os.Args[1:])
}
