// Package telemetry builds the logger and the metrics that all programs share.
package telemetry

import (
	"io"
	"sync"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes one line of key=value pairs per event. Level is debug, info, warn or error.
func NewLogger(w io.Writer, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.MessageKey = "event"
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.AddSync(&lockedWriter{w: w}), parsed)), nil
}

// lockedWriter serialises writes, so that the lines of concurrent events do not mix.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}
