package daemon

import (
	"slices"
	"time"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
)

// Roster is an immutable snapshot of the VMs and servers as this VM sees them.
type Roster struct {
	VMs    []platform.VM              // live entry VMs
	ByID   map[string]platform.VM     // VMs by id
	Groups map[string]GroupCandidates // by group
	// Leaving holds the servers that the platform's list marks as leaving, by id. Server
	// ids are unique only within a service, but the list does not name the service: an
	// entry applies to the servers with that id in all services.
	Leaving map[string]bool
	// GoneServers holds the servers that earlier lists named and the last one lacks. It
	// is keyed like Leaving.
	GoneServers map[string]bool
	Settled     bool // the running VMs have had time to answer a ping
}

// GroupCandidates holds the VMs that may keep one group.
type GroupCandidates struct {
	ID            config.GroupID
	Candidates    []ownership.VMRef // in order of preference, full incarnation known
	AllCandidates []ownership.VMRef // also those whose full incarnation is not known
	Gone          []ownership.VMRef // known to have terminated
}

// maxRosterAge bounds the age of a roster. Building one asks the view for candidates,
// which also keeps the VMs of a group pinging each other.
const maxRosterAge = 5 * time.Second

// rosterInputs identifies the state from which a roster was built, and its time.
type rosterInputs struct {
	at         time.Duration
	generation uint64
	configs    uint64
	listReads  int
	settled    bool
}

// publish builds a new roster if its inputs have changed or the last one is too old.
func (m *Members) publish(now time.Duration) {
	inputs := rosterInputs{
		at:         now,
		generation: m.view.Generation(),
		configs:    m.store.Digest(),
		listReads:  m.listReads,
		settled:    m.settled(now),
	}
	last := m.lastInputs
	last.at = now
	if inputs == last && now-m.lastInputs.at < maxRosterAge {
		return
	}
	m.roster.Store(m.buildRoster(now, inputs.settled))
	inputs.generation = m.view.Generation() // building the roster may change it
	m.lastInputs = inputs
}

func (m *Members) buildRoster(now time.Duration, settled bool) *Roster {
	live := m.view.Live(now)
	next := &Roster{
		VMs:         live,
		ByID:        make(map[string]platform.VM, len(live)),
		Groups:      map[string]GroupCandidates{},
		Leaving:     m.leaving,
		GoneServers: m.gone,
		Settled:     settled,
	}
	for _, vm := range live {
		next.ByID[vm.ID] = vm
	}
	for _, service := range m.store.Services() {
		for _, id := range service.Groups() {
			candidates, gone := m.view.Candidates(now, id.Domain, service.Isolation, id.String())
			next.Groups[id.String()] = GroupCandidates{
				ID:            id,
				AllCandidates: slices.Clone(candidates),
				Candidates:    dropIncomplete(candidates),
				Gone:          gone,
			}
		}
	}
	return next
}
