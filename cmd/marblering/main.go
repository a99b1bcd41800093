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

// runUntilSignal cancels the command at the first SIGTERM or SIGINT; a second
// one ends the process at once.
func runUntilSignal(run runNode) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, stop)
	return execute(ctx, newRootCommand(run), os.Args[1:])
}
