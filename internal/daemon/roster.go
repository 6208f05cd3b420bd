package daemon

import (
	"slices"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
)

// Roster is an immutable view of the VMs, as this VM sees them.
type Roster struct {
	VMs    []platform.VM           // live entry VMs
	ByID   map[string]platform.VM  // the same, by id
	Groups map[string]GroupKeepers // by group
	Leave  map[string]bool         // servers that the platform's list calls leaving
	// LostServers were named by the list and are no longer.
	LostServers map[string]bool
	Settled     bool // the VMs that run have had time to answer
}

// GroupKeepers are the VMs that may keep one group.
type GroupKeepers struct {
	ID         config.GroupID
	Candidates []ownership.VMRef // in order of preference, their starts known
	Askable    []ownership.VMRef // the same, with VMs that are only listed
	Gone       []ownership.VMRef
}

// publishInterval bounds how old a roster may be: asking for candidates also
// keeps the pings among the VMs of a group going.
const publishInterval = 5 * time.Second

// published tells what a roster was made from.
type published struct {
	at         time.Duration
	generation uint64
	configs    uint64
	lists      int
	settled    bool
}

// publish makes a new roster when what it is made from has changed.
func (m *Members) publish(now time.Duration) {
	made := published{
		at:         now,
		generation: m.view.Generation(),
		configs:    m.store.Digest(),
		lists:      m.lists,
		settled:    m.settled(now),
	}
	last := m.published
	last.at = now
	if made == last && now-m.published.at < publishInterval {
		return
	}
	m.roster.Store(m.makeRoster(now, made.settled))
	made.generation = m.view.Generation() // asking for candidates may change it
	m.published = made
}

func (m *Members) makeRoster(now time.Duration, settled bool) *Roster {
	live := m.view.Live(now)
	next := &Roster{
		VMs:         live,
		ByID:        make(map[string]platform.VM, len(live)),
		Groups:      map[string]GroupKeepers{},
		Leave:       m.leaving,
		LostServers: m.lost,
		Settled:     settled,
	}
	for _, vm := range live {
		next.ByID[vm.ID] = vm
	}
	for _, service := range m.store.Services() {
		for _, id := range service.Groups() {
			candidates, gone := m.view.Candidates(now, id.Domain, service.Isolation, id.String())
			next.Groups[id.String()] = GroupKeepers{
				ID:         id,
				Askable:    slices.Clone(candidates),
				Candidates: withKnownStart(candidates),
				Gone:       gone,
			}
		}
	}
	return next
}
