package daemon

import (
	"slices"
	"sync"

	"kumquatcleat/internal/config"
)

// effectiveServices returns the configuration in force, in which servers that the
// platform marks as leaving are marked as draining. It implements routing.Services.
type effectiveServices struct {
	store   *config.Store
	members *Members
	synced  func() bool
	mu      sync.Mutex // guards cached
	cached  map[string]cachedService
}

// cachedService is a copy with marked servers, valid for one base and one roster.
type cachedService struct {
	base   *config.Service
	roster *Roster
	marked *config.Service
}

// Service implements routing.Services.
func (e *effectiveServices) Service(name string) (*config.Service, bool) {
	base, ok := e.store.Service(name)
	if !ok {
		return nil, false
	}
	roster := e.members.Roster()
	if len(roster.Leaving) == 0 {
		return base, true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if entry, ok := e.cached[name]; ok && entry.base == base && entry.roster == roster {
		return entry.marked, true
	}
	if e.cached == nil {
		e.cached = map[string]cachedService{}
	}
	marked := markLeaving(base, roster.Leaving)
	e.cached[name] = cachedService{base: base, roster: roster, marked: marked}
	return marked, true
}

// Known implements routing.Services.
func (e *effectiveServices) Known() bool { return e.synced() }

func markLeaving(base *config.Service, leaving map[string]bool) *config.Service {
	marked := *base
	marked.Servers = slices.Clone(base.Servers)
	for i := range marked.Servers {
		marked.Servers[i].Drain = marked.Servers[i].Drain || leaving[marked.Servers[i].ID]
	}
	return &marked
}
