// Package telemetry holds what a daemon tells its operators: log lines of key=value
// pairs, metrics for Prometheus, liveness and readiness.
//
// It owns the form of the lines and the paths on the operators' address. What is logged,
// counted and checked is up to the parts that use it. It relies on zap and on the client
// library of Prometheus.
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
func NewLogger(w io.Writer, level zapcore.LevelEnabler, fields ...zap.Field) *zap.Logger {
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
	core := plainErrors{zapcore.NewCore(zaplogfmt.NewEncoder(config), sink, level)}
	return zap.New(core).With(fields...)
}

// plainErrors writes errors by their text alone. zap would add a field with the
// stack for errors that have one, which makes lines of several kilobytes.
type plainErrors struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (p plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{p.Core.With(withoutStacks(fields))}
}

// Check implements zapcore.Core.
func (p plainErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if p.Enabled(entry.Level) {
		return checked.AddCore(entry, p)
	}
	return checked
}

// Write implements zapcore.Core.
func (p plainErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return p.Core.Write(entry, withoutStacks(fields))
}

// withoutStacks replaces errors by their texts.
func withoutStacks(fields []zapcore.Field) []zapcore.Field {
	plain := make([]zapcore.Field, len(fields))
	for index, field := range fields {
		plain[index] = field
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			plain[index] = zap.String(field.Key, err.Error())
		}
	}
	return plain
}
