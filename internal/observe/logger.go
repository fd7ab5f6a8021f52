package observe

import (
	"io"
	"log/slog"

	"github.com/oleanderspool/oleanderspool"
)

// NewLogger returns a logger that writes to w. format is "text" or "json";
// level is "debug", "info", "warn" or "error". For other values it returns an
// error of type [oleanderspool.ErrInvalid].
func NewLogger(w io.Writer, format, level string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, oleanderspool.ErrInvalid.New("log level %q is not one of debug, info, warn, error", level)
	}
	options := &slog.HandlerOptions{Level: l}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(w, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, options)), nil
	default:
		return nil, oleanderspool.ErrInvalid.New("log format %q is not one of text, json", format)
	}
}
