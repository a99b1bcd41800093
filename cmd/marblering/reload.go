package main

import (
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// settingsEnv is the environment variable with the path of the settings file, used if the
// flag isn't set.
const settingsEnv = "MARBLERING_SETTINGS"

// reloader reloads the settings on SIGHUP. The log level takes effect immediately. Other
// changes require a restart, which the log line reports.
type reloader[T any] struct {
	load func() (T, error)
	// logLevel returns a pointer to the log level in the settings.
	logLevel func(*T) *string
	current  T
	level    zap.AtomicLevel
	logger   *zap.Logger
}

// notifyHangups returns a channel that receives each SIGHUP from now on. Without one, a
// SIGHUP would terminate the process.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// run reloads the settings on each hangup and never returns.
func (r *reloader[T]) run(hangups <-chan os.Signal) {
	for range hangups {
		r.reload()
	}
}

// reload applies the log level of the reloaded settings, or keeps the current settings if
// the new ones are invalid.
func (r *reloader[T]) reload() {
	loaded, err := r.load()
	if err != nil {
		r.logger.Error("settings rejected, keeping the current ones", zap.Error(err))
		return
	}
	level, err := zapcore.ParseLevel(*r.logLevel(&loaded))
	if err != nil {
		r.logger.Error("settings rejected, keeping the current ones", zap.Error(err))
		return
	}
	r.level.SetLevel(level)
	immediate := r.current
	*r.logLevel(&immediate) = *r.logLevel(&loaded)
	r.logger.Info("settings reloaded", zap.Stringer("log_level", level), zap.Bool("rest_at_next_start", !reflect.DeepEqual(immediate, loaded)))
}
