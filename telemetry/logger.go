// Package telemetry provides logging in logfmt, Prometheus metrics, and liveness and
// readiness endpoints for the daemons.
//
// It defines the format of log lines and the HTTP paths for operators. The packages that
// use it decide what is logged, counted and checked. It builds on zap and on the Prometheus
// client library.
package telemetry

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Keys of the standard fields of a log line.
const (
	timeKey    = "time"
	levelKey   = "level"
	messageKey = "msg"
	nameKey    = "logger"
)

// NewLogger returns a logger that writes each entry as one line of key=value pairs and
// adds fields to every line. Times are in UTC, durations in seconds. Writes are
// serialized, so w need not be safe for concurrent use.
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
	core := errorTextCore{zapcore.NewCore(zaplogfmt.NewEncoder(config), sink, level)}
	return zap.New(core).With(fields...)
}

// errorTextCore logs errors by their message only. For errors with a stack trace, zap would
// add a second field with the trace, which makes lines several kilobytes long.
type errorTextCore struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c errorTextCore) With(fields []zapcore.Field) zapcore.Core {
	return errorTextCore{c.Core.With(withoutStacks(fields))}
}

// Check implements zapcore.Core.
func (c errorTextCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c errorTextCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, withoutStacks(fields))
}

// withoutStacks replaces error fields by string fields with the error's message.
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
