// Package profile describes a load: the accounts, the rate of requests, and
// the lengths of prompts and answers.
//
// Usage:
//
//	p, err := profile.Load("night.toml")
package profile

import (
	"bytes"
	"errors"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"oleandercove.example/core/unit"
)

// Profile describes a load.
type Profile struct {
	Seed uint64
	// Addresses are the daemons; requests go to them in turn and nowhere else.
	Addresses []string
	// Rate is the mean number of requests a second of all accounts together.
	Rate            float64
	DurationSeconds float64
	Model           unit.EntryName
	// Layers is the number of layers of the model, for the reference text.
	Layers     unit.Layer
	DeadlineMs int
	// Prompt and Answer are lengths in words and tokens.
	Prompt Length
	Answer Length
	// Service and ServiceShare add reads of a plain service.
	Service      unit.EntryName
	ServicePath  string
	ServiceShare float64
	Accounts     []Account
}

// Length is a log-normal distribution that is cut off at both ends.
type Length struct {
	Median int
	// Sigma is the standard deviation of the logarithm; 0 makes it constant.
	Sigma float64
	Min   int
	Max   int
}

// Account is a client account with its share of the requests.
type Account struct {
	Name     unit.AccountID
	Token    string
	Weight   float64
	Priority string
	// StartSeconds and EndSeconds limit the account to a part of the run; an
	// end of 0 means the end of the run.
	StartSeconds float64
	EndSeconds   float64
}

// Duration is the time during which requests are sent.
func (p *Profile) Duration() time.Duration { return Seconds(p.DurationSeconds) }

// Seconds converts seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks a profile.
func Load(path string) (*Profile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Profile{}
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(p); err != nil {
		return nil, err
	}
	return p, p.Check()
}

// Check returns all faults of the profile.
func (p *Profile) Check() error {
	var faults []error
	require := func(ok bool, text string) {
		if !ok {
			faults = append(faults, errors.New(text))
		}
	}
	require(len(p.Addresses) > 0, "Addresses must name at least one daemon")
	require(p.Rate > 0, "Rate must be positive")
	require(p.DurationSeconds > 0, "DurationSeconds must be positive")
	require(len(p.Accounts) > 0, "Accounts must name at least one account")
	require(p.ServiceShare >= 0 && p.ServiceShare <= 1, "ServiceShare must be between 0 and 1")
	require(p.ServiceShare == 0 || p.Service != "", "ServiceShare needs a Service")
	require(p.ServiceShare == 1 || (p.Model != "" && p.Layers > 0), "model requests need Model and Layers")
	require(p.Prompt.valid(), "Prompt needs 1 <= Min <= Median <= Max")
	require(p.Answer.valid(), "Answer needs 1 <= Min <= Median <= Max")
	for _, a := range p.Accounts {
		require(a.Weight > 0, "Weight must be positive for account "+string(a.Name))
	}
	return errors.Join(faults...)
}

func (l Length) valid() bool {
	return l.Min >= 1 && l.Min <= l.Median && l.Median <= l.Max && l.Sigma >= 0
}
