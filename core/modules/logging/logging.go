// Package logging builds the structured logger of every program.
package logging

import (
	"io"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// The fixed field names of log lines.
const (
	FieldInstance = "instance"
	FieldTeam     = "team"
	FieldService  = "service"
	FieldTarget   = "target"
	FieldRevision = "revision"
	FieldPeer     = "peer"
)

// New returns a logger that writes JSON lines at the given level to the writer.
func New(w io.Writer, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "time"
	c.MessageKey = "message"
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = zapcore.StringDurationEncoder
	sink := zapcore.Lock(zapcore.AddSync(w))
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), sink, l)), nil
}
