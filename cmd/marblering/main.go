// Command marblering is the daemon that every machine runs, and the tool that
// checks its settings.
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

// runNode runs one node until ctx ends and its work is handed over.
type runNode func(ctx context.Context, loaded settings.Settings, logger *zap.Logger) error

func main() {
	os.Exit(runUntilSignal(node.Run))
}

// runUntilSignal cancels the command at the first SIGTERM or SIGINT. Further
// SIGTERMs change nothing, since a drain is under way; a further SIGINT ends the
// process at once.
func runUntilSignal(run runNode) int {
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
