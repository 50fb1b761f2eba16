package dispatcher

import (
	"fmt"
	"io"
	"strings"

	"github.com/rs/zerolog"
)

// Logs says where the log goes and how it is written. The zero value drops it.
type Logs struct {
	To      io.Writer
	Level   zerolog.Level
	Console bool // lines for a person, not JSON
}

// NewLogs reads a level (debug, info, warn, error) and a format (json, console).
func NewLogs(to io.Writer, level, format string) (Logs, error) {
	l := Logs{To: to}
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

func (l Logs) logger() zerolog.Logger {
	if l.To == nil {
		return zerolog.Nop()
	}
	if l.Console {
		return zerolog.New(zerolog.ConsoleWriter{Out: l.To, NoColor: true, TimeFormat: "15:04:05.000"}).Level(l.Level)
	}
	return zerolog.New(l.To).Level(l.Level)
}
