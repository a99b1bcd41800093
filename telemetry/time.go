package telemetry

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// timeLayout is RFC 3339 with a fixed number of fractional digits, so that times sort as
// text.
const timeLayout = "2006-01-02T15:04:05.000000Z"

func encodeUTC(at time.Time, encoder zapcore.PrimitiveArrayEncoder) {
	encoder.AppendString(at.UTC().Format(timeLayout))
}
