// Package logger creates the logger of a process: short messages with a fixed prefix
// for each part, as text or JSON.
//
// Usage:
//
//	l := logger.New(logger.Options{Level: "info", Format: "text"})
//	p := l.WithPrefix("planner")
package logger

import (
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"
)

// Options configures a logger.
type Options struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is text or json.
	Format string
	// Output defaults to standard error.
	Output io.Writer
}

// New returns a logger; an unknown level means info.
func New(o Options) *log.Logger {
	out := o.Output
	if out == nil {
		out = os.Stderr
	}
	level, err := log.ParseLevel(o.Level)
	if err != nil {
		level = log.InfoLevel
	}
	l := log.NewWithOptions(out, log.Options{
		Level: level, ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
	})
	if o.Format == "json" {
		l.SetFormatter(log.JSONFormatter)
	}
	return l
}

// Discard returns a logger that writes nothing, for tests.
func Discard() *log.Logger { return log.New(io.Discard) }
