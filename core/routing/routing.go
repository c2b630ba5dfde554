// Package routing holds the configuration that operators set: routes, services,
// client accounts and the limits on requests of callers.
//
// A Configuration is immutable. A newer version replaces the whole value, so that
// a reader never sees a mix of two versions.
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

// AccessKey is the secret that authenticates a client account.
type AccessKey string

// Repeat states whether a request may run more than once.
type Repeat int

const (
	// RunOnce marks requests that may run at most once.
	RunOnce Repeat = iota
	// Idempotent marks requests that may run more than once.
	Idempotent
	// Resumable marks event streams that another backend server may continue after
	// the last event that the caller has received.
	Resumable
)

// Priority ranks requests; 0 is the most urgent.
type Priority int

// Share is the weight of one service of a route.
type Share struct {
	Service ServiceName
	Weight  int
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	// Shares is never empty.
	Shares []Share
	Repeat Repeat
	// Stream is true if the response is an event stream.
	Stream bool
	// Timeout bounds a request; 0 means no bound.
	Timeout time.Duration
	// Objective is the latency objective of a response, or of the first event of a
	// stream.
	Objective time.Duration
	// MaxEventGap is the objective for the longest gap between two events.
	MaxEventGap time.Duration
	// Attempts bounds the number of backend servers that one request may run on.
	Attempts int
	Priority Priority
	// Anonymous means that requests need no access key.
	Anonymous bool
}

// Account is a client account with its keys.
type Account struct {
	ID   unit.AccountID
	Keys []AccessKey
	// Priority overrides the priority of the route if it is set.
	Priority *Priority
}

// MaxHeaderBytes is the most that a daemon reads of the headers of a request, whatever Limits allow.
const MaxHeaderBytes = 256 << 10

// Limits bounds the requests of callers; zero values mean no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name ServiceName
	// MaxConnections bounds the connections from all hosts together to one backend
	// server; 0 means no bound.
	MaxConnections int
	// HealthPath is the path of the health check of a backend server; empty if it has
	// none.
	HealthPath string
	// Engine is set if the backend servers run a model.
	Engine *Engine
}

// Configuration is one version of all settings that operators make for routing.
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
