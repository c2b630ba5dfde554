// Package settings loads and checks the settings file of the run command.
//
// Usage:
//
//	s, err := settings.Load("entry-1.toml")
package settings

import (
	"time"

	"oleandercove.example/core/loader"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/leaser"
	"oleandercove.example/oleandercove/placer"
)

// Settings are the settings of one daemon.
type Settings struct {
	Host        unit.HostID     `check:"required"`
	DataCentre  unit.DataCentre `check:"required"`
	Region      unit.Region
	Callers     Callers
	Operators   Operators
	Platform    Platform
	Log         Log
	Shutdown    Shutdown
	Peers       Peers
	Policy      Policy
	Services    Services
	Admission   Admission
	Controllers Controllers
	Streams     Streams
}

// Callers configures the listener for callers.
type Callers struct {
	Listen string `check:"required,address"`
	// HeaderTimeout bounds the time for the headers of a request.
	HeaderTimeout loader.Duration `check:"positive"`
	// BodyTimeout bounds the time for the body of a request.
	BodyTimeout loader.Duration `check:"positive"`
}

// Operators configures the listener for operators.
type Operators struct {
	Listen string `check:"address"`
	Token  string
}

// Platform configures the address of the platform's object API.
type Platform struct {
	Address string `check:"required,address"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is text or json.
	Format string
}

// Load reads and checks a settings file. Faults in the file are returned as a
// loader.Faults error.
func Load(path string) (*Settings, error) {
	s := defaults()
	if err := loader.Load(path, s); err != nil {
		return nil, err
	}
	return s, nil
}

func defaults() *Settings {
	return &Settings{
		Callers: Callers{
			HeaderTimeout: loader.Duration(5 * time.Second),
			BodyTimeout:   loader.Duration(10 * time.Second),
		},
		Streams: Streams{Move: true},
		Log:     Log{Level: "info", Format: "text"},
		Shutdown: Shutdown{
			BalancerDelay: loader.Duration(time.Second),
			Limit:         loader.Duration(30 * time.Second),
		},
		Controllers: Controllers{
			Lease:      loader.Duration(leaser.DefaultTerm),
			OrderLimit: loader.Duration(leaser.DefaultOrderLimit),
			MaxLoads:   placer.DefaultMaxLoads,
		},
		Policy: Policy{
			SilenceLimit: loader.Duration(time.Second),
			PollInterval: loader.Duration(500 * time.Millisecond),
		},
		Admission: Admission{MaxWait: loader.Duration(800 * time.Millisecond)},
	}
}
