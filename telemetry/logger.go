// Package telemetry holds what a node tells its operators: log lines of
// key=value pairs, metrics for Prometheus, liveness and readiness.
package telemetry

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Keys that every log line has.
const (
	timeKey    = "time"
	levelKey   = "level"
	messageKey = "msg"
	nameKey    = "logger"
)

// NewLogger returns a logger that writes one line of key=value pairs an event,
// with the fields on every line. Times are in UTC, durations in seconds.
// Writes are serialized, so that w need not be safe for concurrent use.
func NewLogger(w io.Writer, level zapcore.Level, fields ...zap.Field) *zap.Logger {
	config := zapcore.EncoderConfig{
		TimeKey:        timeKey,
		LevelKey:       levelKey,
		MessageKey:     messageKey,
		NameKey:        nameKey,
		EncodeTime:     encodeUTC,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.SecondsDurationEncoder,
	}
	sink := zapcore.Lock(zapcore.AddSync(w))
	core := zapcore.NewCore(zaplogfmt.NewEncoder(config), sink, level)
	return zap.New(core).With(fields...)
}
