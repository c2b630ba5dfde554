// Package routing holds the configuration that operators put in force: routes,
// services, client accounts and the limits on what callers send.
//
// A Configuration is immutable. A newer version replaces it as a whole, so that
// a reader sees one version at a time.
//
// Usage:
//
//	t := c.Table()
//	r, ok := t.Match("reports.example", "/daily/7")
//	a, ok := t.Account(key)
package routing

import (
	"time"

	"oleandercove.example/core/unit"
)

// Version orders configurations; a higher one replaces a lower one.
type Version int64

// ServiceName names a service that backend servers provide.
type ServiceName string

// RouteName names a route.
type RouteName string

// AccessKey is the secret by which a client account identifies itself.
type AccessKey string

// Repeat says how often a request may run.
type Repeat int

const (
	// RunOnce is for requests that may run at most once.
	RunOnce Repeat = iota
	// Idempotent is for requests that may run more than once.
	Idempotent
	// Resumable is for event streams that another backend server may continue
	// after the last event that the caller has.
	Resumable
)

// Priority ranks requests; 0 is the most urgent.
type Priority int

// Share is one service of a route with its weight.
type Share struct {
	Service ServiceName
	Weight  int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	// Shares is never empty.
	Shares []Share
	Repeat Repeat
	// Stream is true if the response is a series of events.
	Stream bool
	// Timeout bounds a request; 0 means no bound.
	Timeout time.Duration
	// Objective is the time within which a response, or the first event of a
	// stream, is on time.
	Objective time.Duration
	// Pause is the longest pause between two events that is on time.
	Pause time.Duration
	// Attempts bounds the backend servers that one request may run on.
	Attempts int
	Priority Priority
	// Anonymous routes need no key.
	Anonymous bool
}

// Account is a client account with its keys.
type Account struct {
	ID   unit.AccountID
	Keys []AccessKey
	// Priority goes before the priority of the route if it is set.
	Priority *Priority
}

// Limits bound what callers send; zero values mean no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a set of backend servers with the same work.
type Service struct {
	Name ServiceName
	// MaxConnections bounds the connections of one backend server from all
	// hosts together; 0 means no bound.
	MaxConnections int
	// HealthPath is where a backend server says whether it takes work; empty if it
	// can't be asked.
	HealthPath string
	// Engine is set if the backend servers run a model.
	Engine *Engine
}

// Configuration is one version of everything that operators decide.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Service returns the service with the name, or nil.
func (c *Configuration) Service(name ServiceName) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}
