// Package settings holds the settings of a daemon that routes on the platform.
//
// The platform renders the file from deploy/router.toml at each start and at
// each change.
//
// Usage:
//
//	s, err := settings.Load("router.toml")
package settings

import (
	"fmt"
	"net/netip"
	"time"

	"oleandercove.example/core/loader"
	"oleandercove.example/core/unit"
)

// Settings are the settings of one daemon.
type Settings struct {
	Host       unit.HostID     `check:"required"`
	DataCentre unit.DataCentre `check:"required"`
	IP         string          `check:"required"`
	// PeerPorts are the first and last port that daemons may use between themselves.
	// Beacons use the first, requests of peers the one after it.
	PeerPorts []int
	// Seeds are addresses of hosts that may run daemons; any of them may be stale.
	Seeds        []string
	StoreAddress string `check:"required,address"`
	Listen       Listen
	Limits       Limits
	Bounds       Bounds
	Log          Log
}

// Listen holds the addresses that are reached from outside the fleet.
type Listen struct {
	// Callers is the address for clients.
	Callers string `check:"required,address"`
	// Ready is the address for the readiness checks of the platform.
	Ready string `check:"required,address"`
}

// Limits are the resources of the host that the process may use.
type Limits struct {
	Cores           int `check:"positive"`
	MemoryMegabytes int `check:"positive"`
	// ProcessorShare is the part of each core that the process gets, LinkMegabits the speed of
	// the host's link in megabits a second. Hosts with more of both serve the others first.
	ProcessorShare, LinkMegabits float64
}

// Bounds are the times and shares that the rules of the platform require.
type Bounds struct {
	// KeyRevocation is the time after which a revoked key must be rejected.
	KeyRevocation loader.Duration `check:"positive"`
	// ConfigurationApply is the time within which a new configuration must be in force.
	ConfigurationApply loader.Duration `check:"positive"`
	// ServerDrain is the time within which a backend server that leaves must get no more
	// requests.
	ServerDrain loader.Duration `check:"positive"`
	// Grace is the time between SIGTERM and SIGKILL.
	Grace loader.Duration `check:"positive"`
	// RetryShare and RetryReserve bound the retries of the whole fleet.
	RetryShare   float64
	RetryReserve float64
}

// Log configures the log.
type Log struct {
	Level string
	// LinesPerSecond bounds the volume of the log; further lines are dropped and
	// counted.
	LinesPerSecond int `check:"positive"`
}

// Load reads and checks a settings file. An invalid file is reported as loader.Faults;
// another error means that the file can't be read.
func Load(path string) (*Settings, error) {
	s := defaultSettings()
	if err := loader.Load(path, s); err != nil {
		return nil, err
	}
	return s, nil
}

// defaultSettings returns the settings of keys that the file leaves out.
func defaultSettings() *Settings {
	return &Settings{
		Bounds: Bounds{
			Grace: loader.Duration(8 * time.Second), KeyRevocation: loader.Duration(5 * time.Second),
			ConfigurationApply: loader.Duration(4 * time.Second), ServerDrain: loader.Duration(4 * time.Second),
		},
		Limits: Limits{ProcessorShare: 1, LinkMegabits: 1000},
		Log:    Log{Level: "info", LinesPerSecond: 50},
	}
}

// Check returns the problems that span several keys.
func (s *Settings) Check() []loader.Problem {
	var out []loader.Problem
	if _, err := netip.ParseAddr(s.IP); err != nil {
		out = append(out, loader.Problem{Key: "IP", Expected: "an IP address"})
	}
	if len(s.PeerPorts) != 2 || s.PeerPorts[0] < 1 || s.PeerPorts[1] <= s.PeerPorts[0] {
		out = append(out, loader.Problem{Key: "PeerPorts", Expected: "the first and last of at least two ports"})
	}
	return out
}

// BeaconAddress returns the address at which the daemon receives beacons.
func (s *Settings) BeaconAddress() string { return fmt.Sprintf("%s:%d", s.IP, s.PeerPorts[0]) }

// PeerAddress returns the address at which the daemon answers requests of peers.
func (s *Settings) PeerAddress() string { return fmt.Sprintf("%s:%d", s.IP, s.PeerPorts[0]+1) }
