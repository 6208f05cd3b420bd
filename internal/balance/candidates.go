package balance

import (
	"time"

	"kumquatcleat/internal/registry"
)

const (
	// usedServers is the number of servers of the VM's own failure domain that it keeps
	// using while they are not busy. With few servers it meets each one often: it has an
	// open connection and a recent load report.
	usedServers = 8
	// usedTime is how long a server counts as used after an answer. Servers close
	// connections that are idle for longer.
	usedTime = 6 * time.Second
	// exploreShare is the share of requests for which an unused server is not at a
	// disadvantage, so that the used ones change over time.
	exploreShare = 0.02
	// freshShare is the share of requests that go to servers that joined less than
	// freshTime ago, until this VM uses them: no VM does yet.
	freshShare = 0.1
	freshTime  = 6 * time.Second
)

// splitByUse separates the servers that this VM used recently from the others, and from
// these the ones that joined recently. All count as used while fewer than usedServers
// are.
func (b *Balancer) splitByUse(now time.Time, servers []*registry.Server) (used, unused, fresh []*registry.Server) {
	if len(servers) <= usedServers {
		return servers, nil, nil
	}
	for _, s := range servers {
		st := b.stats(s)
		if st.firstSeen.IsZero() {
			st.firstSeen = now
		}
		switch {
		case st.inFlight > 0 || now.Sub(st.answeredAt) < usedTime:
			used = append(used, s)
			continue
		case now.Sub(st.firstSeen) < freshTime:
			fresh = append(fresh, s)
		}
		unused = append(unused, s)
	}
	if len(used) < usedServers {
		return servers, nil, fresh
	}
	return used, unused, fresh
}

// unusedCost returns the cost of the new connection that an unused server takes, as a loss, unless
// that is known of each server.
func (b *Balancer) unusedCost() float64 {
	if b.settings.HasIdleConnection != nil {
		return 0
	}
	return newConnectionCost
}
