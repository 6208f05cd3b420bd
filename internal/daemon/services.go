package daemon

import (
	"slices"
	"sync"

	"kumquatcleat/internal/config"
)

// effectiveServices is the configuration in force with the servers that the
// platform calls leaving marked as draining. It implements routing.Services.
// mu guards made.
type effectiveServices struct {
	store   *config.Store
	members *Members
	synced  func() bool
	mu      sync.Mutex
	made    map[string]effectiveService
}

// effectiveService is a marked copy, good while base and roster stay the same.
type effectiveService struct {
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
	if len(roster.Leave) == 0 {
		return base, true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if have, ok := e.made[name]; ok && have.base == base && have.roster == roster {
		return have.marked, true
	}
	if e.made == nil {
		e.made = map[string]effectiveService{}
	}
	marked := markLeaving(base, roster.Leave)
	e.made[name] = effectiveService{base: base, roster: roster, marked: marked}
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
