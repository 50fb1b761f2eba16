package dispatcher

import (
	"fmt"
	"io"
	"strings"

	"github.com/rs/zerolog"
)

// LogOptions configures the log. The zero value discards all messages.
type LogOptions struct {
	Output  io.Writer
	Level   zerolog.Level
	Console bool // human-readable lines instead of JSON
}

// NewLogOptions returns the options for an output, a level (debug, info, warn or error) and a format (json or console).
func NewLogOptions(output io.Writer, level, format string) (LogOptions, error) {
	options := LogOptions{Output: output}
	var err error
	if options.Level, err = zerolog.ParseLevel(strings.ToLower(level)); err != nil || level == "" {
		return options, fmt.Errorf("--log-level cannot be %q: use debug, info, warn or error", level)
	}
	switch format {
	case "json":
	case "console":
		options.Console = true
	default:
		return options, fmt.Errorf("--log-format cannot be %q: use json or console", format)
	}
	return options, nil
}

// logger returns a logger with the output, level and format of the options, and without fields.
func (o LogOptions) logger() zerolog.Logger {
	if o.Output == nil {
		return zerolog.Nop()
	}
	if o.Console {
		return zerolog.New(zerolog.ConsoleWriter{Out: o.Output, NoColor: true, TimeFormat: "15:04:05.000"}).Level(o.Level)
	}
	return zerolog.New(o.Output).Level(o.Level)
}
