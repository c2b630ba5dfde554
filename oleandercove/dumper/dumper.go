// Package dumper collects the state of all parts of the daemon for operators.
//
// Each part registers a function that returns its state. Texts in fields with a
// secret's name, and secrets from the settings, are redacted in the result.
//
// Usage:
//
//	d := dumper.New(dumper.Options{Host: "entry-1", Timer: t, Secrets: []string{token}})
//	d.Register("watcher", func() any { return w.Backends() })
//	state := d.Dump()
package dumper

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"oleandercove.example/core/api"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
)

// redacted replaces a secret.
const redacted = "redacted"

// secretNameParts are the substrings of field names that mark a text as a secret. The
// hash of a token counts as a secret, because a weak token can be found from it.
var secretNameParts = []string{"token", "secret", "password", "bearer", "authorization", "privatekey"}

// Options configures a Registry.
type Options struct {
	Host  unit.HostID
	Timer timer.Service
	// Secrets are texts that are redacted wherever they occur in a dump.
	Secrets []string
}

type part struct {
	name  string
	state func() any
}

// Registry collects the state of the registered parts.
type Registry struct {
	options Options
	mu      sync.Mutex
	parts   []part
}

// New returns an empty Registry.
func New(o Options) *Registry {
	o.Secrets = slices.DeleteFunc(slices.Clone(o.Secrets), func(s string) bool { return s == "" })
	return &Registry{options: o}
}

// Register adds a part; state must be safe for concurrent use and return a
// value that can be written as JSON.
func (r *Registry) Register(name string, state func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts = append(r.parts, part{name: name, state: state})
}

// Dump returns the state of all parts, in the order of registration.
func (r *Registry) Dump() api.Dump {
	r.mu.Lock()
	parts := slices.Clone(r.parts)
	r.mu.Unlock()
	d := api.Dump{Host: r.options.Host, At: r.options.Timer.Now().UTC()}
	for _, p := range parts {
		d.Sections = append(d.Sections, r.section(p))
	}
	return d
}

// section returns the state of one part. A part that panics or can't be encoded gets
// an error in its section, so that the dump still contains the other parts.
func (r *Registry) section(p part) (s api.DumpSection) {
	s.Name = p.name
	defer func() {
		if cause := recover(); cause != nil {
			s.State, s.Error = nil, r.redactText(fmt.Sprint(cause))
		}
	}()
	state, err := r.encode(p.state())
	if err != nil {
		s.Error = r.redactText(err.Error())
		return s
	}
	s.State = state
	return s
}

func (r *Registry) encode(state any) (json.RawMessage, error) {
	b, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	return json.Marshal(r.redactValue(v, false))
}

// redactValue replaces the secrets in a decoded JSON value. If secret is set, the
// value is below a field with a secret's name, and every text in it is a secret.
func (r *Registry) redactValue(v any, secret bool) any {
	switch v := v.(type) {
	case map[string]any:
		out := make(map[string]any, len(v))
		for name, member := range v {
			out[r.redactText(name)] = r.redactValue(member, secret || isSecret(name))
		}
		return out
	case []any:
		for i := range v {
			v[i] = r.redactValue(v[i], secret)
		}
	case string:
		if secret && v != "" {
			return redacted
		}
		return r.redactText(v)
	}
	return v
}

func (r *Registry) redactText(text string) string {
	for _, s := range r.options.Secrets {
		text = strings.ReplaceAll(text, s, redacted)
	}
	return text
}

func isSecret(name string) bool {
	name = strings.ToLower(name)
	return slices.ContainsFunc(secretNameParts, func(s string) bool { return strings.Contains(name, s) })
}
