// Package storage builds the daemon of a machine with a disk. So far it opens
// the replica store of its data folder and reports on it; no gateway writes to
// it yet (docs/design/platform.md says what is to come).
package storage

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/marblering/marblering/settings"
	"github.com/marblering/marblering/state/replica"
	"github.com/marblering/marblering/telemetry"
)

const (
	// memoryPart of the limit is where the garbage collector works harder.
	memoryPart    = 0.8
	headerTimeout = 10 * time.Second
)

// Run runs a storage node until the context ends.
func Run(ctx context.Context, loaded settings.Storage, logger *zap.Logger) error {
	debug.SetMemoryLimit(int64(memoryPart * float64(loaded.MemoryLimit)))
	store, err := replica.OpenDisk(loaded.DataFolder)
	if err != nil {
		return err
	}
	if damage := store.Damage(); damage != nil {
		logger.Error("replica data was damaged and is set aside", zap.Error(damage))
	}
	socket, err := net.Listen("tcp", loaded.OperatorListen.String())
	if err != nil {
		return errors.Join(merry.Prependf(err, "listening for operators"), store.Close())
	}
	supervisor := suture.New("storage", suture.Spec{EventHook: func(event suture.Event) {
		logger.Warn("supervisor", zap.String("event", event.String()))
	}})
	handler := telemetry.NewHandler(telemetry.NewRegistry(), telemetry.NewReadiness())
	supervisor.Add(&operatorServer{socket: socket, server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}})
	logger.Info("started", zap.String("incarnation", store.Incarnation()), zap.Stringer("operator_address", socket.Addr()))
	stopped := supervisor.ServeBackground(ctx)
	<-ctx.Done()
	<-stopped
	err = store.Close()
	logger.Info("stopped", zap.Error(err))
	return err
}

// operatorServer serves operators.
type operatorServer struct {
	socket net.Listener
	server *http.Server
}

// String names the service in the supervisor's messages.
func (s *operatorServer) String() string { return "listener of operators" }

// Serve implements suture.Service.
func (s *operatorServer) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(s.socket)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}
