package main

import (
	"fmt"
	"time"

	"kumquatcleat/internal/placement"
)

// service is a service whose placement is simulated.
type service struct {
	user      string
	name      string
	servers   int     // in all domains together
	capacity  float64 // concurrent requests per server
	domains   int
	slotCount int
	keys      int
}

// services are the users' current services and one group of the size at which the slots of
// a domain would be split into several groups.
var services = []service{
	{"Fellowship", "reefread", 13, 6, 3, 256, 30000},
	{"Fellowship", "swapbay", 6, 6, 3, 256, 30000},
	{"Fellowship", "logdeep", 16, 6, 3, 256, 30000},
	{"Fellowship", "modbench", 6, 6, 3, 256, 30000},
	{"Omuramba", "catalogue", 10, 3, 3, 256, 30000},
	{"Omuramba", "settlement", 6, 3, 3, 256, 30000},
	{"Omuramba", "ledger-reports", 9, 3, 3, 256, 30000},
	{"Omuramba", "checkout", 6, 3, 3, 256, 30000},
	{"large", "64 servers, 1024 slots", 64, 6, 1, 1024, 100000},
}

// Durations of a simulation.
const (
	planInterval  = time.Second     // as in the daemon
	warmUp        = 2 * time.Minute // excluded from the results: loads are unknown at first
	simulatedTime = 20 * time.Minute
)

// Times at which the servers of each group change.
const (
	failAt   = 5 * time.Minute  // the first server fails
	returnAt = 8 * time.Minute  // and returns
	drainAt  = 10 * time.Minute // the second server starts to drain
	leaveAt  = 13 * time.Minute // the second server is removed
	joinAt   = 15 * time.Minute // a new server joins
)

// serversAt returns the servers of a domain's group at time now.
func (s service) serversAt(domain int, now time.Duration) []placement.Server {
	var servers []placement.Server
	for i := range s.serversIn(domain) {
		unreachable := i == 0 && now >= failAt && now < returnAt
		drain := i == 1 && now >= drainAt && now < leaveAt
		if i == 1 && now >= leaveAt {
			continue
		}
		servers = append(servers, s.server(domain, i, unreachable, drain))
	}
	if now >= joinAt {
		servers = append(servers, s.server(domain, s.servers, false, false))
	}
	return servers
}

func (s service) server(domain, index int, unreachable, drain bool) placement.Server {
	id := fmt.Sprintf("%s-%d-%d", s.name, domain, index)
	return placement.Server{ID: id, Capacity: s.capacity, Home: true, Unreachable: unreachable, Drain: drain}
}

// serversIn returns the initial number of the service's servers in a domain.
func (s service) serversIn(domain int) int {
	return (s.servers + s.domains - 1 - domain) / s.domains
}
