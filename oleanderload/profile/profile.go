// Package profile describes a load: the client accounts, the rate of requests, and the
// lengths of prompts and answers.
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
	// Addresses are those of the daemons; requests are sent to them round-robin and to
	// no other address.
	Addresses []string
	// Rate is the mean number of requests per second of all accounts together.
	Rate            float64
	DurationSeconds float64
	Model           unit.EntryName
	// Layers is the number of layers of the model; the reference text depends on it.
	Layers unit.Layer
	// DeadlineMs is the deadline of each request in milliseconds; 0 means none.
	DeadlineMs int
	// Prompt is the length of a prompt in words, Answer that of an answer in tokens.
	Prompt Length
	Answer Length
	// ServiceShare is the share of the requests, between 0 and 1, that read ServicePath
	// of the plain service Service instead of requesting a completion.
	Service      unit.EntryName
	ServicePath  string
	ServiceShare float64
	Accounts     []Account
}

// Length is a log-normal distribution whose values are clamped to Min and Max.
type Length struct {
	Median int
	// Sigma is the standard deviation of the logarithm; with 0, each length is Median.
	Sigma float64
	Min   int
	Max   int
}

// Account is a client account. Its share of the requests is its Weight divided by the sum
// of all weights.
type Account struct {
	Name     unit.AccountID
	Token    string
	Weight   float64
	Priority string
	// StartSeconds and EndSeconds limit the account to a part of the run, counted from
	// its start; an end of 0 means the end of the run.
	StartSeconds float64
	EndSeconds   float64
}

// Duration returns the time during which requests are sent.
func (p *Profile) Duration() time.Duration { return Seconds(p.DurationSeconds) }

// Seconds converts seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads a profile from a TOML file and checks it. Unknown keys are errors.
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

// Check returns all faults of the profile as one joined error.
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
	require(p.Prompt.valid(), "Prompt needs 1 <= Min <= Median <= Max and Sigma >= 0")
	require(p.Answer.valid(), "Answer needs 1 <= Min <= Median <= Max and Sigma >= 0")
	for _, a := range p.Accounts {
		require(a.Weight > 0, "Weight must be positive for account "+string(a.Name))
	}
	return errors.Join(faults...)
}

func (l Length) valid() bool {
	return l.Min >= 1 && l.Min <= l.Median && l.Median <= l.Max && l.Sigma >= 0
}
