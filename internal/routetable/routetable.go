// Package routetable maps a request's host and path to a route: where it goes,
// how long it may take and how often it may be sent.
package routetable

import (
	"math"
	"strings"
	"sync/atomic"
	"time"
)

// Target is a service with its weight in a route's split.
type Target struct {
	Service string
	Weight  float64
}

// Route says how requests under one host and path prefix are handled.
type Route struct {
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Idempotent bool   // may run more than once
	Targets    []Target
	// Objective is the time within which an answer is worth its full credit; 0: not told.
	Objective time.Duration
	// Timeout bounds how long a caller is kept waiting.
	Timeout     time.Duration
	MaxAttempts int // servers that one request may be sent to

	total float64
	picks *atomic.Uint64
}

// Service is a set of servers that run the same requests.
type Service struct {
	Name           string
	MaxConnections int // a server accepts from all VMs together
	DividedByKey   bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // from the first byte of a request's head to its last
	IdleTimeout   time.Duration // of a connection between requests
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Limits   Limits
	Routes   []Route
	Services []Service
}

// Table is a compiled Config. It is immutable but for the counters of its splits.
type Table struct {
	Version  uint64
	Limits   Limits
	hosts    map[string]map[string]*Route // host, then prefix
	services map[string]Service
}

// Compile builds a table.
func Compile(c Config) *Table {
	t := &Table{
		Version:  c.Version,
		Limits:   c.Limits,
		hosts:    map[string]map[string]*Route{},
		services: map[string]Service{},
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for i := range c.Routes {
		route := c.Routes[i]
		route.picks = &atomic.Uint64{}
		for _, target := range route.Targets {
			route.total += target.Weight
		}
		host := strings.ToLower(route.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][route.Prefix] = &route
	}
	return t
}

// Match returns the route with the longest prefix of a path, or nil.
func (t *Table) Match(host, path string) *Route {
	prefixes := t.hosts[hostName(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if route := prefixes[path[:slash+1]]; route != nil {
			return route
		}
		end = slash
	}
	return nil
}

// hostName lowers a Host header's name and drops its port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// KeyedServices returns the names of the services divided by key.
func (t *Table) KeyedServices() []string {
	var names []string
	for name, s := range t.services {
		if s.DividedByKey {
			names = append(names, name)
		}
	}
	return names
}

// goldenRatio spreads successive picks evenly over the unit interval, so that
// short runs of requests keep to the weights too.
const goldenRatio = 0.6180339887498949

// Pick chooses the service of one request in proportion to the weights. offset,
// from 0 to 1, differs between VMs.
func (r *Route) Pick(offset float64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	if len(r.Targets) == 0 || r.total <= 0 {
		return ""
	}
	_, at := math.Modf(offset + float64(r.picks.Add(1))*goldenRatio)
	at *= r.total
	for _, target := range r.Targets {
		if at < target.Weight {
			return target.Service
		}
		at -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
