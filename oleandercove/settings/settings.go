// Package settings holds the settings of the daemon.
//
// Usage:
//
//	s, err := settings.Load("entry-1.toml")
package settings

import (
	"bytes"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"oleandercove.example/core/unit"
)

// Settings are the settings of one daemon.
type Settings struct {
	Host       unit.HostID
	DataCentre unit.DataCentre
	Region     unit.Region
	Callers    Callers
	Operators  Operators
	Platform   Platform
	Log        Log
	Shutdown   Shutdown
}

// Callers configures the listener for callers.
type Callers struct{ Listen string }

// Operators configures the listener for operators.
type Operators struct {
	Listen string
	Token  string
}

// Platform names the object API.
type Platform struct{ Address string }

// Log configures the log.
type Log struct {
	Level  string
	Format string
}

// Shutdown configures the graceful shutdown.
type Shutdown struct{ LimitSeconds int }

// Limit returns the longest graceful shutdown.
func (s Shutdown) Limit() time.Duration { return time.Duration(s.LimitSeconds) * time.Second }

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Settings{Log: Log{Level: "info", Format: "text"}, Shutdown: Shutdown{LimitSeconds: 30}}
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return s, d.Decode(s)
}
