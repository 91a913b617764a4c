// Package logger creates structured loggers and defines the numbered events that
// monsoondeck logs.
package logger

import (
	"context"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
)

// ErrFormat reports a log format other than "json" or "text".
var ErrFormat = errors.New("log format must be json or text")

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// New returns a logger that writes records of at least the given level to w. The error
// matches ErrFormat if the format is unknown.
func New(w io.Writer, format string, level slog.Level) (*slog.Logger, error) {
	options := &slog.HandlerOptions{Level: level}
	switch format {
	case "json":
		return slog.New(slog.NewJSONHandler(w, options)), nil
	case "text":
		return slog.New(slog.NewTextHandler(w, options)), nil
	}
	return nil, errors.Wrapf(ErrFormat, "%q", format)
}

// Emit logs the event with its number and the given attributes.
func Emit(l *slog.Logger, e Event, attrs ...slog.Attr) {
	attrs = append([]slog.Attr{slog.Int("event", e.Number)}, attrs...)
	l.LogAttrs(context.Background(), e.Level, e.Message, attrs...)
}
