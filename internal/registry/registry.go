// Package registry tracks the registered servers: which are running, draining,
// terminated or missing their registration.
package registry

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Server is the registration of one incarnation of a server.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int // maximum number of requests it runs concurrently
	Draining      bool
	// Incarnation increases with each start of a server with this ID.
	Incarnation int64
	Warmup      time.Duration // remaining warm-up time when the registration was written
	SeenAt      time.Time     // when this VM read the registration

	era uint64 // of the store when this VM read the registration
}

// Instance identifies one incarnation of a server.
type Instance struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
}

// Instance returns the instance that the registration describes.
func (s *Server) Instance() Instance { return Instance{s.ID, s.Incarnation} }

// SameInstance reports whether two registrations describe the same instance.
func (s *Server) SameInstance(o *Server) bool { return s.Instance() == o.Instance() }

// snapshot is an immutable state of the registry.
type snapshot struct {
	servers  map[string]*Server
	services map[string][]*Server // servers that may receive new requests, ordered by ID
	// evacuated holds since when this VM knows that failure domains are evacuated.
	evacuated map[string]time.Time
}

// Registry holds the registered servers. Reads of servers are lock-free; mu serializes
// changes and guards the other fields.
type Registry struct {
	mu      sync.Mutex
	current atomic.Pointer[snapshot]
	// retainedUntil holds, by server ID, until when a server may still be used whose
	// registration disappeared during or shortly after a store outage.
	retainedUntil map[string]time.Time
	terminated    map[string]int64 // highest incarnation known to have terminated, by server ID
	era           uint64           // newest era of the store of which there were changes
	departed      map[string]departure
	returning     map[string]returning
	onEnded       func(Instance, string)
	// leaving holds the incarnations that said in an answer that they leave, by server ID. It
	// outlives their registration, which may come back while they still run.
	leaving map[string]int64
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{retainedUntil: map[string]time.Time{}, terminated: map[string]int64{}, departed: map[string]departure{}, returning: map[string]returning{}, onEnded: func(Instance, string) {}, leaving: map[string]int64{}}
	r.current.Store(&snapshot{servers: map[string]*Server{}, services: map[string][]*Server{}, evacuated: map[string]time.Time{}})
	return r
}

// OnEnded registers a function to call when an incarnation of a server ends that did not leave
// as planned. It must not call the registry. Call OnEnded before the registry is used.
func (r *Registry) OnEnded(f func(instance Instance, reason string)) { r.onEnded = f }

// Put adds or updates the registration of a server.
func (r *Registry) Put(s Server) { r.Update(func(e *Edit) { e.Put(s) }) }

// Remove removes a server whose registration was deleted or is invalid.
func (r *Registry) Remove(id, reason string) { r.Update(func(e *Edit) { e.Remove(id, reason) }) }

// Edit is a set of changes that take effect together.
type Edit struct {
	registry  *Registry
	servers   map[string]*Server
	touched   map[string]bool      // services whose servers changed
	evacuated map[string]time.Time // see snapshot; replaced, not changed
}

// Put adds or updates the registration of a server.
func (e *Edit) Put(s Server) {
	delete(e.registry.retainedUntil, s.ID)
	if !e.reconcile(&s) {
		return
	}
	old := e.servers[s.ID]
	e.endReplaced(&s)
	if e.registry.leaving[s.ID] < s.Incarnation {
		delete(e.registry.leaving, s.ID)
	}
	s.Draining = s.Draining || e.registry.leaving[s.ID] == s.Incarnation
	if s.Draining && old != nil && old.Draining && old.SameInstance(&s) && old.SeenAt.Before(s.SeenAt) {
		s.SeenAt = old.SeenAt // it drains since then
	}
	if old == nil || !old.SameInstance(&s) || old.Draining != s.Draining {
		slog.Info("registry: server", "server", s.ID, "service", s.Service, "address", s.Address,
			"domain", s.FailureDomain, "incarnation", s.Incarnation, "draining", s.Draining, "slots", s.Slots)
	}
	e.touch(old)
	e.servers[s.ID] = &s
	e.touch(&s)
}

// endReplaced reports the ends of the incarnations that a new one shows: those with its ID or
// at its address.
func (e *Edit) endReplaced(s *Server) {
	if old := e.servers[s.ID]; old != nil && old.SameInstance(s) {
		return
	}
	for _, old := range e.servers {
		if old.Incarnation < s.Incarnation && !old.Draining && (old.ID == s.ID || old.Address == s.Address) {
			e.registry.onEnded(old.Instance(), "server "+s.ID+" started in its place")
		}
	}
}

// Remove removes a server whose registration was deleted or is invalid.
func (e *Edit) Remove(id, reason string) {
	delete(e.registry.retainedUntil, id)
	delete(e.registry.returning, id)
	if old := e.servers[id]; old != nil {
		e.depart(old)
		if !old.Draining {
			e.registry.onEnded(old.Instance(), reason)
		}
		slog.Info("registry: server gone", "server", id, "reason", reason)
		e.touch(old)
		delete(e.servers, id)
	}
}

// Get returns a server by ID, or nil.
func (e *Edit) Get(id string) *Server { return e.servers[id] }

// RetainUntil keeps a server whose registration disappeared during or shortly after a
// store outage. Sweep removes it if the registration does not reappear by the given
// time.
func (e *Edit) RetainUntil(id string, until time.Time) {
	if s := e.servers[id]; s != nil {
		slog.Info("registry: registration disappeared during or shortly after a store outage, keeping the server", "server", id, "service", s.Service)
		e.registry.retainedUntil[id] = until
	}
}

func (e *Edit) touch(s *Server) {
	if s != nil {
		e.touched[s.Service] = true
	}
}

// Sweep removes the servers whose retention time has passed, and adds those that returned with
// a restored store to stay.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	var expired []string
	for id, until := range r.retainedUntil {
		if !now.Before(until) {
			expired = append(expired, id)
		}
	}
	for id := range r.leaving {
		if _, departed := r.departed[id]; !departed && r.Get(id) == nil {
			delete(r.leaving, id)
		}
	}
	lasted := r.sweepReturning(now)
	r.mu.Unlock()
	for _, id := range expired {
		r.Remove(id, "its entry did not come back with the store")
	}
	for _, s := range lasted {
		r.Put(s)
	}
}

// MarkTerminated records that an incarnation of a server has terminated: another server
// responds at its address. A refused connection is no proof, as network partitions can
// refuse connections too.
func (r *Registry) MarkTerminated(id string, incarnation int64, reason string) {
	if r.IsTerminated(id, incarnation) {
		return // already recorded; every request to the address reports it, so avoid the copy
	}
	r.Update(func(e *Edit) {
		if r.terminated[id] < incarnation {
			slog.Info("registry: server incarnation terminated", "server", id, "incarnation", incarnation, "reason", reason)
			r.terminated[id] = incarnation
			r.onEnded(Instance{id, incarnation}, reason)
			e.touch(e.servers[id])
		}
	})
}

// MarkLeaving records that an incarnation of a server said in an answer that it leaves: it
// drains from now on, whatever its registration says.
func (r *Registry) MarkLeaving(instance Instance) {
	s := r.Get(instance.ID)
	if s == nil || s.Instance() != instance || s.Draining {
		return
	}
	r.Update(func(e *Edit) {
		old := e.servers[instance.ID]
		if old == nil || old.Instance() != instance || old.Draining {
			return
		}
		slog.Info("registry: server says that it leaves", "server", instance.ID, "incarnation", instance.Incarnation)
		r.leaving[instance.ID] = instance.Incarnation
		drained := *old
		drained.Draining, drained.SeenAt = true, time.Now()
		e.servers[instance.ID] = &drained
		e.touch(&drained)
	})
}

// Leaving returns the registered incarnations that said in an answer that they leave.
func (r *Registry) Leaving() []Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Instance
	for id, incarnation := range r.leaving {
		if s := r.Get(id); s != nil && s.Incarnation == incarnation {
			list = append(list, Instance{id, incarnation})
		}
	}
	return list
}

// IsTerminated reports whether an incarnation is known to have terminated. The
// registration of a newer incarnation with the same ID does not count as proof: a grant
// sent to the earlier incarnation may reach the newer one at the same address.
func (r *Registry) IsTerminated(id string, incarnation int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.terminated[id] >= incarnation
}

// Update makes several changes in one step: each step copies the registry, whose size
// grows with the number of servers.
func (r *Registry) Update(edit func(*Edit)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.current.Load()
	e := &Edit{registry: r, servers: maps.Clone(old.servers), touched: map[string]bool{}, evacuated: old.evacuated}
	edit(e)
	if len(e.touched) == 0 && len(e.evacuated) == len(old.evacuated) {
		return
	}
	services := maps.Clone(old.services)
	for name := range e.touched {
		services[name] = nil
	}
	for _, s := range e.servers {
		if _, evacuated := e.evacuated[s.FailureDomain]; e.touched[s.Service] && !evacuated && !s.Draining && r.terminated[s.ID] < s.Incarnation {
			services[s.Service] = append(services[s.Service], s)
		}
	}
	for name := range e.touched {
		slices.SortFunc(services[name], func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	}
	r.current.Store(&snapshot{servers: e.servers, services: services, evacuated: e.evacuated})
}

// Get returns a server by ID, or nil.
func (r *Registry) Get(id string) *Server { return r.current.Load().servers[id] }

// All returns the servers of all services that may receive new requests, in no particular order.
func (r *Registry) All() []*Server {
	var all []*Server
	for _, list := range r.current.Load().services {
		all = append(all, list...)
	}
	return all
}

// Usable returns the servers of a service that may receive new requests. The caller
// must not modify the slice.
func (r *Registry) Usable(service string) []*Server { return r.current.Load().services[service] }
