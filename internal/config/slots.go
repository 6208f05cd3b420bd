package config

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// GroupID identifies a group: the slots of a service that share a home domain and a
// keeper.
type GroupID struct {
	Service string
	Domain  string
	Index   int // always 0: a domain's slots are not split yet
}

// String returns service/domain/index.
func (g GroupID) String() string {
	return g.Service + "/" + g.Domain + "/" + strconv.Itoa(g.Index)
}

// ParseGroupID parses the output of GroupID.String.
func ParseGroupID(s string) (GroupID, error) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return GroupID{}, fmt.Errorf("group %q: want service/domain/index", s)
	}
	index, err := strconv.Atoi(parts[2])
	if err != nil || index < 0 || strconv.Itoa(index) != parts[2] {
		return GroupID{}, fmt.Errorf("group %q: index %q: want a non-negative number without a sign or leading zeros", s, parts[2])
	}
	return GroupID{Service: parts[0], Domain: parts[1], Index: index}, nil
}

// SlotOf returns the slot of a key.
func (s *Service) SlotOf(key string) uint32 {
	return uint32(xxhash.Sum64String(key) % uint64(s.SlotCount))
}

// GroupOf returns the group that a slot belongs to.
func (s *Service) GroupOf(slot uint32) GroupID {
	return GroupID{Service: s.Name, Domain: s.Domains[int(slot)%len(s.Domains)]}
}

// Groups returns the service's groups, one per home domain.
func (s *Service) Groups() []GroupID {
	groups := make([]GroupID, 0, len(s.Domains))
	for _, d := range s.Domains {
		groups = append(groups, GroupID{Service: s.Name, Domain: d})
	}
	return groups
}

// SlotsOf returns the slots of a group in ascending order.
func (s *Service) SlotsOf(g GroupID) []uint32 {
	var slots []uint32
	for slot := uint32(0); slot < s.SlotCount; slot++ {
		if s.GroupOf(slot) == g {
			slots = append(slots, slot)
		}
	}
	return slots
}

// ServersOf returns the servers that may own a group's slots: first those of its
// home domain, then, with IsolationMove, those of the other domains.
func (s *Service) ServersOf(g GroupID) []Server {
	var home, away []Server
	for _, server := range s.Servers {
		switch {
		case server.FailureDomain == g.Domain:
			home = append(home, server)
		case s.Isolation == IsolationMove:
			away = append(away, server)
		}
	}
	return append(home, away...)
}
