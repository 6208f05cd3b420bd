package registry

import (
	"log/slog"
	"time"
)

// A store that was restored from an older copy holds registrations as they were some seconds
// ago, until their servers write them again. What this VM has seen a server do since stands:
// it drained, left or started again.

// departure is the removal of a server.
type departure struct {
	incarnation int64
	era         uint64 // of the store when it was removed
	at          time.Time
}

// returning is a restored registration of a server that had left.
type returning struct {
	server Server
	since  time.Time
}

const (
	// returnTime is how long a restored registration of a server that had left is not used,
	// unless the server writes it again. Within that time the platform removes the
	// registrations of servers that are silent.
	returnTime = 4 * time.Second
	// departureMemory is how long a departure is remembered. Copies are some seconds old.
	departureMemory = time.Minute
)

// InEra tells the era of the store of which the next changes are.
func (e *Edit) InEra(era uint64) { e.registry.era = max(e.registry.era, era) }

// reconcile compares a registration with what is known of its server from an earlier era of
// the store. It returns false if the registration is not to be used.
func (e *Edit) reconcile(s *Server) bool {
	r := e.registry
	s.era = r.era
	if old := e.servers[s.ID]; old != nil {
		switch {
		case s.era == old.era:
		case s.Incarnation < old.Incarnation:
			slog.Info("registry: restored registration ignored, the server started again since", "server", s.ID, "incarnation", s.Incarnation, "known", old.Incarnation)
			return false
		case old.Draining && !s.Draining && old.SameInstance(s):
			slog.Info("registry: restored registration of a draining server", "server", s.ID, "incarnation", s.Incarnation)
			s.Draining = true
		}
		return true
	}
	left, known := r.departed[s.ID]
	if !known || s.era == left.era || s.Incarnation > left.incarnation {
		return true
	}
	if _, seen := r.returning[s.ID]; seen {
		delete(r.returning, s.ID)
		return true
	}
	slog.Info("registry: restored registration of a server that had left, not used yet", "server", s.ID, "incarnation", s.Incarnation)
	r.returning[s.ID] = returning{*s, time.Now()}
	return false
}

// depart remembers a server that is being removed.
func (e *Edit) depart(s *Server) {
	e.registry.departed[s.ID] = departure{s.Incarnation, e.registry.era, time.Now()}
}

// sweepReturning returns the servers whose restored registration has lasted, and forgets old
// departures. The caller holds the lock.
func (r *Registry) sweepReturning(now time.Time) []Server {
	var lasted []Server
	for id, back := range r.returning {
		if now.Sub(back.since) >= returnTime {
			lasted = append(lasted, back.server)
			delete(r.returning, id)
			delete(r.departed, id)
		}
	}
	for id, left := range r.departed {
		if _, back := r.returning[id]; !back && now.Sub(left.at) >= departureMemory {
			delete(r.departed, id)
		}
	}
	return lasted
}
