package gateway

import (
	"time"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/registry"
)

// members implements keyspace.Members.
type members struct {
	registry *registry.Registry
	balancer *balance.Balancer
}

// Members implements keyspace.Members.
func (m *members) Members(service string) []keyspace.Member {
	var list []keyspace.Member
	now := time.Now()
	for _, s := range m.registry.Usable(service) {
		list = append(list, keyspace.Member{
			Holder:   keyspace.Holder{Server: s.ID, Incarnation: s.Incarnation, Address: s.Address},
			Slots:    s.Slots,
			Capacity: m.balancer.Capacity(now, s),
		})
	}
	return list
}

// State implements keyspace.Members.
func (m *members) State(h keyspace.Holder) keyspace.ServerState {
	if m.registry.IsTerminated(h.Server, h.Incarnation) {
		return keyspace.Ended
	}
	s := m.registry.Get(h.Server)
	switch {
	case s == nil || s.Incarnation != h.Incarnation:
		return keyspace.Missing
	case s.Draining:
		return keyspace.Leaving
	default:
		return keyspace.Serving
	}
}

// keyspaceSettings derives the durations of leases from the platform's bound.
func keyspaceSettings(s *Settings, keys uint32) keyspace.CoordinatorSettings {
	long := min(longHold, seconds(s.HoldMaxS))
	return keyspace.CoordinatorSettings{
		Lead: keyspace.LeadSettings{Lease: leadLease, Renew: leadRenew, Strain: leadStrain, CallTimeout: leadCallTimeout, LongHold: long, DriftPerMill: driftPerMill},
		Timing: keyspace.Timing{
			Hold: min(keyHold, seconds(s.HoldMaxS)), LongHold: long,
			Renew: keyRenew, Doubt: keyDoubt, Repeat: releaseRepeat, GiveUp: keyGiveUp,
			CallTimeout: keyCallTimeout, DriftPerMill: driftPerMill, Slack: keySlack, LinkQueue: linkQueue,
		},
		Plan:           keyspace.PlanSettings{Busy: planBusy, Imbalance: planImbalance, Overloaded: planOverloaded, MaxMoves: planMoves},
		Tick:           coordinatorTick,
		PlanInterval:   reportInterval, // a plan for each report
		MoveWait:       moveWait,
		FirstPlanWait:  firstPlanWait,
		ReleaseTimeout: releaseTimeout,
		Keys:           keys,
		Table:          keysTable,
	}
}

const (
	// leadLease is shorter than what is left of keys' leases when a coordinator is
	// lost, so that its successor renews them in time.
	leadLease = 1000 * time.Millisecond
	leadRenew = 400 * time.Millisecond
	// leadStrain leaves time to lengthen the leases of keys before the right ends.
	leadStrain = 200 * time.Millisecond
	// leadCallTimeout is above the answers of a store that is 95 times as slow as
	// usual, 380 ms; with leadRenew it ends within the lease.
	leadCallTimeout = 450 * time.Millisecond
	driftPerMill    = 25 // a clock may run 2 % slow
	// keyHold outlasts the coordinator's lease and its successor's start. A server
	// that is lost without a word keeps its keys this long; with the call that it
	// left unanswered they are served again about 3 s after the loss.
	keyHold = 1700 * time.Millisecond
	// longHold spans outages of the store of about seven seconds. A coordinator that
	// takes over has to take it for given on keys of servers that are silent.
	longHold = 6 * time.Second
	keyRenew = 400 * time.Millisecond
	keyDoubt = 250 * time.Millisecond
	// keyCallTimeout outlasts one lost packet, which is sent again after 200 ms.
	keyCallTimeout = 350 * time.Millisecond
	releaseRepeat  = 700 * time.Millisecond
	keyGiveUp      = 900 * time.Millisecond
	keySlack       = 50 * time.Millisecond
	linkQueue      = 550 * time.Millisecond // beyond half a second users count a VM as slowed
	// releaseTimeout outlasts the longest work that a release waits for.
	releaseTimeout = 4 * time.Second

	// coordinatorTick is a small part of the time that requests wait for a move.
	coordinatorTick = 20 * time.Millisecond
	// moveWait outlasts a move from a server that answers, its running work included.
	moveWait = 1200 * time.Millisecond
	// firstPlanWait is in the seconds before traffic in which servers announce themselves.
	firstPlanWait = 1500 * time.Millisecond
)

const (
	// planBusy is a utilization at which a server's queue is still short.
	planBusy = 0.6
	// planImbalance is above the noise of a few seconds' counts.
	planImbalance = 1.2
	// planOverloaded is where a queue begins to grow without end.
	planOverloaded = 0.95
	// planMoves spreads a few hundred busy keys over a third of 70 servers at once.
	planMoves = 24
)
