// Package registry knows the servers that announced themselves: which run now,
// which are leaving and which are gone.
package registry

import (
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Server is one start of a server, as it announced itself.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int // requests it runs at once
	Draining      bool
	// Incarnation differs between two starts under one id and only rises.
	Incarnation int64
	Warmup      time.Duration // how much longer it is slow, when the entry was written
	SeenAt      time.Time     // when this VM read the entry
}

// Instance names one start of a server.
type Instance struct {
	ID          string
	Incarnation int64
}

// Instance returns the start that the entry is of.
func (s *Server) Instance() Instance { return Instance{s.ID, s.Incarnation} }

// SameInstance reports whether two entries are of one start of one server.
func (s *Server) SameInstance(o *Server) bool { return s.Instance() == o.Instance() }

// set is an immutable snapshot.
type set struct {
	servers  map[string]*Server
	services map[string][]*Server // that may get requests, ordered by id
}

// Registry holds the servers. Reads of servers are lock-free; mu serializes
// changes and owns lapsed and ended.
type Registry struct {
	mu      sync.Mutex
	current atomic.Pointer[set]
	// lapsed holds servers whose entries vanished while the store was in
	// trouble, with the time until which they may still be used.
	lapsed map[string]time.Time
	ended  map[string]int64 // highest incarnation that is known to have ended, by id
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{lapsed: map[string]time.Time{}, ended: map[string]int64{}}
	r.current.Store(&set{servers: map[string]*Server{}, services: map[string][]*Server{}})
	return r
}

// Put takes in a server's entry.
func (r *Registry) Put(s Server) {
	r.change(func(servers map[string]*Server) {
		delete(r.lapsed, s.ID)
		if old := servers[s.ID]; old == nil || !old.SameInstance(&s) || old.Draining != s.Draining {
			slog.Info("registry: server", "server", s.ID, "service", s.Service, "address", s.Address,
				"domain", s.FailureDomain, "incarnation", s.Incarnation, "draining", s.Draining, "slots", s.Slots)
		}
		servers[s.ID] = &s
	})
}

// Remove drops a server whose entry is gone.
func (r *Registry) Remove(id, reason string) {
	r.change(func(servers map[string]*Server) {
		delete(r.lapsed, id)
		if servers[id] != nil {
			slog.Info("registry: server gone", "server", id, "reason", reason)
			delete(servers, id)
		}
	})
}

// RetainUntil keeps a server whose entry vanished while the store was in trouble. It
// is dropped by Sweep if no entry comes until then.
func (r *Registry) RetainUntil(id string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.current.Load().servers[id]; s != nil {
		slog.Info("registry: entry vanished during trouble of the store", "server", id, "service", s.Service)
		r.lapsed[id] = until
	}
}

// Sweep drops lapsed servers whose time is over.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	var over []string
	for id, until := range r.lapsed {
		if !now.Before(until) {
			over = append(over, id)
		}
	}
	r.mu.Unlock()
	for _, id := range over {
		r.Remove(id, "its entry did not come back with the store")
	}
}

// MarkTerminated tells that a start of a server has ended: another server answers at its
// address. A refused connection does not show it, as cuts refuse connections.
func (r *Registry) MarkTerminated(id string, incarnation int64, reason string) {
	if r.IsTerminated(id, incarnation) {
		return // told by each request that reaches the address: nothing to copy
	}
	r.change(func(servers map[string]*Server) {
		if r.ended[id] < incarnation {
			slog.Info("registry: server ended", "server", id, "incarnation", incarnation, "reason", reason)
			r.ended[id] = incarnation
		}
	})
}

// IsTerminated reports whether a start is known to have ended. A newer start under
// its id does not show it to all ends: it takes what was meant for the last one.
func (r *Registry) IsTerminated(id string, incarnation int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended[id] >= incarnation
}

// change builds a new snapshot from a copy of the old one.
func (r *Registry) change(edit func(servers map[string]*Server)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.current.Load()
	servers := make(map[string]*Server, len(old.servers)+1)
	for id, s := range old.servers {
		servers[id] = s
	}
	edit(servers)
	services := map[string][]*Server{}
	for _, s := range servers {
		if !s.Draining && r.ended[s.ID] < s.Incarnation {
			services[s.Service] = append(services[s.Service], s)
		}
	}
	for _, list := range services {
		slices.SortFunc(list, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	}
	r.current.Store(&set{servers: servers, services: services})
}

// Get returns a server by id, or nil.
func (r *Registry) Get(id string) *Server { return r.current.Load().servers[id] }

// Usable returns the servers of a service that may get new requests. The slice
// must not be changed.
func (r *Registry) Usable(service string) []*Server { return r.current.Load().services[service] }
