// Package routetable maps the host and path of a request to a route, which defines the
// services to send it to, its timeout and the maximum number of attempts.
package routetable

import (
	"math"
	"strings"
	"sync/atomic"
	"time"
)

// Target is a service with its weight in the traffic split of a route.
type Target struct {
	Service string
	Weight  float64
}

// Route defines how requests for one host and path prefix are handled.
type Route struct {
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Idempotent bool   // requests may run more than once
	Targets    []Target
	// Objective is the latency up to which an answer counts as in time; 0: the balancer's
	// default.
	Objective time.Duration
	// Timeout is the maximum time that a caller waits for an answer.
	Timeout     time.Duration
	MaxAttempts int // maximum number of servers to which one request is sent
	Rank        int // requests of a lower rank are served first when a server is overloaded

	totalWeight float64
	pickCount   *atomic.Uint64
}

// Service is a group of servers that handle the same requests.
type Service struct {
	Name           string
	MaxConnections int  // connections that a server accepts from all VMs in total
	DividedByKey   bool // each server owns a share of the keys exclusively
	// Warmup is how long a server is cold after its start, WarmupRate how many requests per second
	// a cold server takes from all VMs together; 0: as many as any other.
	Warmup     time.Duration
	WarmupRate float64
	// SlowKeysTime is for how long keys are slow that move without handover data from their former
	// owner; 0: not known.
	SlowKeysTime time.Duration
}

// Limits bound the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // from the first to the last byte of a request header
	IdleTimeout   time.Duration // maximum idle time of a connection between requests
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Limits   Limits
	Routes   []Route
	Services []Service
}

// Table is a compiled Config. It is immutable except for the counters of its traffic
// splits.
type Table struct {
	Version  uint64
	Limits   Limits
	hosts    map[string]map[string]*Route // host, then prefix
	services map[string]Service
	// objectives holds the shortest objective of the routes to a service.
	objectives map[string]time.Duration
}

// Compile builds the route table of a configuration.
func Compile(c Config) *Table {
	t := &Table{
		Version:  c.Version,
		Limits:   c.Limits,
		hosts:    map[string]map[string]*Route{},
		services: map[string]Service{},

		objectives: map[string]time.Duration{},
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for i := range c.Routes {
		route := c.Routes[i]
		route.pickCount = &atomic.Uint64{}
		for _, target := range route.Targets {
			route.totalWeight += target.Weight
			if known := t.objectives[target.Service]; route.Objective > 0 && (known == 0 || route.Objective < known) {
				t.objectives[target.Service] = route.Objective
			}
		}
		host := strings.ToLower(route.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][route.Prefix] = &route
	}
	return t
}

// Objective returns the shortest objective of the routes to a service, or 0 if none has
// one.
func (t *Table) Objective(service string) time.Duration { return t.objectives[service] }

// Match returns the route of a host with the longest matching path prefix, or nil.
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

// hostName returns the name in a Host header in lower case, without the port.
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

// KeyedServices returns the names of the services that are divided by key.
func (t *Table) KeyedServices() []string {
	var names []string
	for name, s := range t.services {
		if s.DividedByKey {
			names = append(names, name)
		}
	}
	return names
}

// UndividedServices returns the names of the services that are not divided by key.
func (t *Table) UndividedServices() []string {
	var names []string
	for name, s := range t.services {
		if !s.DividedByKey {
			names = append(names, name)
		}
	}
	return names
}

// goldenRatio, as the step between successive picks, distributes them evenly over the
// unit interval, so that short series of requests match the weights too.
const goldenRatio = 0.6180339887498949

// Pick chooses the service for one request in proportion to the weights. offset is
// between 0 and 1 and differs between VMs, so that their sequences differ.
func (r *Route) Pick(offset float64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	if len(r.Targets) == 0 || r.totalWeight <= 0 {
		return ""
	}
	_, position := math.Modf(offset + float64(r.pickCount.Add(1))*goldenRatio)
	position *= r.totalWeight
	for _, target := range r.Targets {
		if position < target.Weight {
			return target.Service
		}
		position -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Shares returns the services among which the requests of the route are split, with the share of each.
func (r *Route) Shares() []Target {
	if len(r.Targets) == 1 {
		return []Target{{r.Targets[0].Service, 1}}
	}
	if len(r.Targets) == 0 || r.totalWeight <= 0 {
		return []Target{{"", 1}} // as Pick
	}
	var shares []Target
	for _, target := range r.Targets {
		if target.Weight > 0 {
			shares = append(shares, Target{target.Service, target.Weight / r.totalWeight})
		}
	}
	return shares
}
