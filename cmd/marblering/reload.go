package main

import (
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// settingsVariable names the settings file where no flag does.
const settingsVariable = "MARBLERING_SETTINGS"

// reloader reads the settings again at each SIGHUP. The log level takes effect
// at once; everything else at the next start, which the line says.
type reloader[T any] struct {
	load func() (T, error)
	// logLevel points to the level in the settings.
	logLevel func(*T) *string
	current  T
	level    zap.AtomicLevel
	logger   *zap.Logger
}

// run never returns: a SIGHUP during a drain must not end the process, which is
// what the signal does where nobody waits for it.
func (r *reloader[T]) run() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		r.reload()
	}
}

// reload keeps the old settings where the new ones can't be used.
func (r *reloader[T]) reload() {
	loaded, err := r.load()
	if err != nil {
		r.logger.Error("settings refused, the old ones stay", zap.Error(err))
		return
	}
	level, err := zapcore.ParseLevel(*r.logLevel(&loaded))
	if err != nil {
		r.logger.Error("settings refused, the old ones stay", zap.Error(err))
		return
	}
	r.level.SetLevel(level)
	immediate := r.current
	*r.logLevel(&immediate) = *r.logLevel(&loaded)
	r.logger.Info("settings reloaded", zap.Stringer("log_level", level), zap.Bool("rest_at_next_start", !reflect.DeepEqual(immediate, loaded)))
}
