package registry

import (
	"log/slog"
	"maps"
	"time"
)

// An operator may ask that nothing more be sent to the servers of a failure domain. They stay
// registered, and those that register meanwhile get no requests either.

// Evacuate records that a failure domain is to be evacuated, as of now unless it is already.
func (r *Registry) Evacuate(now time.Time, domain string) {
	r.Update(func(e *Edit) {
		if _, known := e.evacuated[domain]; known {
			return
		}
		e.evacuated = maps.Clone(e.evacuated)
		e.evacuated[domain] = now
		slog.Info("registry: failure domain is evacuated", "domain", domain, "servers", e.touchDomain(domain))
	})
}

// EndEvacuation records that the servers of a failure domain may get requests again.
func (r *Registry) EndEvacuation(domain string) {
	r.Update(func(e *Edit) {
		since, known := e.evacuated[domain]
		if !known {
			return
		}
		e.evacuated = maps.Clone(e.evacuated)
		delete(e.evacuated, domain)
		slog.Info("registry: evacuation of failure domain ended", "domain", domain, "servers", e.touchDomain(domain), "after", time.Since(since).Round(time.Millisecond))
	})
}

// touchDomain has the usable servers of all services in a failure domain determined again, and
// returns the number of its servers.
func (e *Edit) touchDomain(domain string) int {
	servers := 0
	for _, s := range e.servers {
		if s.FailureDomain == domain {
			e.touch(s)
			servers++
		}
	}
	return servers
}

// Evacuated returns since when this VM knows that a failure domain is evacuated, and false if it is
// not.
func (r *Registry) Evacuated(domain string) (since time.Time, evacuated bool) {
	since, evacuated = r.current.Load().evacuated[domain]
	return since, evacuated
}

// EvacuatedDomains returns the number of evacuated failure domains.
func (r *Registry) EvacuatedDomains() int { return len(r.current.Load().evacuated) }

// HasEvacuated reports whether a service has servers that get no requests only because their failure
// domains are evacuated.
func (r *Registry) HasEvacuated(service string) bool {
	now := r.current.Load()
	if len(now.evacuated) == 0 {
		return false
	}
	for _, s := range now.servers {
		if _, evacuated := now.evacuated[s.FailureDomain]; evacuated && s.Service == service && !s.Draining {
			return true
		}
	}
	return false
}

// InDomain returns all registered servers of a failure domain, whether they may receive requests or
// not.
func (r *Registry) InDomain(domain string) []*Server {
	var list []*Server
	for _, s := range r.current.Load().servers {
		if s.FailureDomain == domain {
			list = append(list, s)
		}
	}
	return list
}
