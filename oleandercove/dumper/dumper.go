// Package dumper shows the state of all parts of the daemon to operators.
//
// Each part registers a function that returns its state. Values of fields that
// hold secrets, and secrets from the settings, are replaced in the result.
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

// secretNames are parts of the names of fields whose text is a secret. The
// hash of a token counts as one, because a weak token can be found from it.
var secretNames = []string{"token", "secret", "password", "bearer", "authorization", "privatekey"}

// Options configures a Registry.
type Options struct {
	Host  unit.HostID
	Timer timer.Service
	// Secrets are texts that never appear in a dump, wherever they occur.
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

// section isolates a part that fails, so that the others are still shown.
func (r *Registry) section(p part) (s api.DumpSection) {
	s.Name = p.name
	defer func() {
		if cause := recover(); cause != nil {
			s.State, s.Error = nil, r.hide(fmt.Sprint(cause))
		}
	}()
	state, err := r.encode(p.state())
	if err != nil {
		s.Error = r.hide(err.Error())
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
	return json.Marshal(r.redact(v, false))
}

// redact replaces secrets in a decoded JSON value; below a field with a secret
// name every text is one.
func (r *Registry) redact(v any, secret bool) any {
	switch v := v.(type) {
	case map[string]any:
		out := make(map[string]any, len(v))
		for name, member := range v {
			out[r.hide(name)] = r.redact(member, secret || isSecret(name))
		}
		return out
	case []any:
		for i := range v {
			v[i] = r.redact(v[i], secret)
		}
	case string:
		if secret && v != "" {
			return redacted
		}
		return r.hide(v)
	}
	return v
}

func (r *Registry) hide(text string) string {
	for _, s := range r.options.Secrets {
		text = strings.ReplaceAll(text, s, redacted)
	}
	return text
}

func isSecret(name string) bool {
	name = strings.ToLower(name)
	return slices.ContainsFunc(secretNames, func(s string) bool { return strings.Contains(name, s) })
}
