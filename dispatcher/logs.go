package dispatcher

import (
	"fmt"
	"io"
	"strings"

	"github.com/rs/zerolog"
)

// LogOptions says where the log goes and how it is written. The zero value drops it.
type LogOptions struct {
	Output  io.Writer
	Level   zerolog.Level
	Console bool // lines for a person, not JSON
}

// NewLogOptions reads a level (debug, info, warn, error) and a format (json, console).
func NewLogOptions(to io.Writer, level, format string) (LogOptions, error) {
	l := LogOptions{Output: to}
	var err error
	if l.Level, err = zerolog.ParseLevel(strings.ToLower(level)); err != nil || level == "" {
		return l, fmt.Errorf("--log-level cannot be %q: use debug, info, warn or error", level)
	}
	switch format {
	case "json":
	case "console":
		l.Console = true
	default:
		return l, fmt.Errorf("--log-format cannot be %q: use json or console", format)
	}
	return l, nil
}

func (l LogOptions) logger() zerolog.Logger {
	if l.Output == nil {
		return zerolog.Nop()
	}
	if l.Console {
		return zerolog.New(zerolog.ConsoleWriter{Out: l.Output, NoColor: true, TimeFormat: "15:04:05.000"}).Level(l.Level)
	}
	return zerolog.New(l.Output).Level(l.Level)
}
