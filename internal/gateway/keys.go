package gateway

import (
	"math"
	"time"

	"kumquatcleat/internal/balance"
	"kumquatcleat/internal/keyspace"
	"kumquatcleat/internal/registry"
)

// members provides the registered servers and their capacities to the coordinator.
type members struct {
	registry *registry.Registry
	balancer *balance.Balancer
	// evacuationTime is the time in seconds over which the servers of an evacuated failure domain
	// give their keys away.
	evacuationTime float64
	// warmupRate returns the rate at which a server warms up, 0 if it is warm.
	warmupRate func(time.Time, registry.Instance) float64
}

// evacuationShare is the share of the time until an evacuated failure domain gets no more requests
// over which its servers start to give their keys away. All at once, a third of all keys would be
// on the move and their new owners would meet the queued requests together.
const evacuationShare = 0.4

// givesKeysAway reports whether a server has to give its keys away because its failure domain is
// evacuated. The servers of a domain start at different times, the same ones on each VM.
func (m *members) givesKeysAway(now time.Time, s *registry.Server) bool {
	since, evacuated := m.registry.Evacuated(s.FailureDomain)
	if !evacuated {
		return false
	}
	// The low bits of the hash are the well-mixed ones.
	start := float64(uint32(hashName(s.ID))) / math.MaxUint32 * m.evacuationTime
	return now.Sub(since).Seconds() >= start
}

// Members implements keyspace.Members.
func (m *members) Members(service string) []keyspace.Member {
	var list []keyspace.Member
	now := time.Now()
	for _, s := range m.registry.Usable(service) {
		list = append(list, keyspace.Member{
			Holder:     keyspace.Holder{Server: s.ID, Incarnation: s.Incarnation, Address: s.Address},
			Slots:      s.Slots,
			Capacity:   m.balancer.Capacity(now, s),
			WarmupRate: m.warmupRate(now, s.Instance()),
		})
	}
	return list
}

// State implements keyspace.Members.
func (m *members) State(h keyspace.Holder) keyspace.ServerState {
	if m.registry.IsTerminated(h.Server, h.Incarnation) {
		return keyspace.Terminated
	}
	s := m.registry.Get(h.Server)
	switch {
	case s == nil || s.Incarnation != h.Incarnation:
		return keyspace.Unregistered
	case s.Draining, m.givesKeysAway(time.Now(), s):
		return keyspace.Draining
	default:
		return keyspace.Serving
	}
}

// keyspaceSettings returns the coordinator's settings. Leases on keys are no longer than
// the platform's hold_max_s.
func keyspaceSettings(s *Settings, keys uint32) keyspace.CoordinatorSettings {
	long := min(keyLongLease, seconds(s.HoldMaxS))
	return keyspace.CoordinatorSettings{
		CoordinatorLease: keyspace.CoordinatorLeaseSettings{Duration: coordinatorLeaseDuration, RenewInterval: coordinatorLeaseRenewInterval, DegradedAfter: coordinatorLeaseDegradedAfter, CallTimeout: coordinatorLeaseCallTimeout, LongLease: long, DriftPerMill: driftPerMill},
		Timing: keyspace.Timing{
			Lease: min(keyLease, seconds(s.HoldMaxS)), LongLease: long,
			RenewInterval: keyRenewInterval, TokenRaiseDelay: keyTokenRaiseDelay, ReleaseRetryInterval: releaseRetryInterval, UnresponsiveTimeout: keyUnresponsiveTimeout,
			CallTimeout: keyCallTimeout, DriftPerMill: driftPerMill, Slack: keySlack, LinkQueueDelay: keyLinkQueueDelay,
		},
		Plan:           keyspace.PlanSettings{Busy: busyUtilization, Imbalance: minImbalance, Overloaded: overloadedUtilization, MaxMoves: maxMovesPerPlan},
		Tick:           coordinatorTick,
		PlanInterval:   reportInterval, // one plan per report
		MoveWait:       moveWait,
		FirstPlanWait:  firstPlanWait,
		ReleaseTimeout: releaseTimeout,
		Keys:           keys,
		RecordBytes:    s.RowBytes,
		Table:          keysTable,
	}
}

const (
	// coordinatorLeaseDuration is shorter than the time left on the key leases when a
	// coordinator fails, so that its successor renews them in time.
	coordinatorLeaseDuration      = 1000 * time.Millisecond
	coordinatorLeaseRenewInterval = 400 * time.Millisecond
	// coordinatorLeaseDegradedAfter is how long a renewal may stay unanswered before the
	// store counts as degraded. It leaves time to lengthen key leases before the
	// coordinator lease expires.
	coordinatorLeaseDegradedAfter = 200 * time.Millisecond
	// coordinatorLeaseCallTimeout bounds a renewal. It exceeds the 380 ms that the write
	// of its one row takes in a store 95 times slower than usual. Together with
	// coordinatorLeaseRenewInterval it is less than coordinatorLeaseDuration, so that an
	// unanswered renewal times out before the lease expires.
	coordinatorLeaseCallTimeout = 450 * time.Millisecond
	driftPerMill                = 25 // thousandths; covers a clock that runs 2 % slow
	// keyLease outlasts the coordinator lease and the start of a successor. The keys of a
	// server that fails silently are served again about 3 s after the failure. That is,
	// on average, half of keyRenewInterval until the next renewal, then keyCallTimeout
	// and keyLinkQueueDelay, and then keyLease, extended by the drift and by keySlack.
	keyLease = 1700 * time.Millisecond
	// keyLongLease covers store outages of about seven seconds, because a coordinator
	// grants such leases until its own expires, up to one second into an outage. A
	// coordinator that takes over has to assume that unresponsive servers hold leases of
	// this length, unless it was its predecessor's standby and knows that none are
	// outstanding.
	keyLongLease       = 6 * time.Second
	keyRenewInterval   = 400 * time.Millisecond
	keyTokenRaiseDelay = 250 * time.Millisecond
	// keyCallTimeout outlasts one lost packet, which is retransmitted after 200 ms.
	keyCallTimeout         = 350 * time.Millisecond
	releaseRetryInterval   = 700 * time.Millisecond
	keyUnresponsiveTimeout = 900 * time.Millisecond
	keySlack               = 50 * time.Millisecond
	// keyLinkQueueDelay bounds how long the bytes of a call that timed out may still be
	// queued at a link. It exceeds the 500 ms of queueing beyond which operators count a
	// VM as slowed. With a longer queue, a lease could be counted as expired too early.
	keyLinkQueueDelay = 550 * time.Millisecond
	// releaseTimeout outlasts the longest running request that a release waits for.
	releaseTimeout = 4 * time.Second

	// coordinatorTick is a small part of the time that requests wait while a key moves.
	coordinatorTick = 20 * time.Millisecond
	// moveWait outlasts a usual move away from a responsive server, including its running
	// requests. A move that takes longer, up to releaseTimeout or more, does not hold up
	// later moves away from an overloaded server.
	moveWait = 1200 * time.Millisecond
	// firstPlanWait falls into the seconds before traffic starts, in which servers register.
	firstPlanWait = 1500 * time.Millisecond
)

const (
	// busyUtilization is a utilization at which a server's queue is still short.
	busyUtilization = 0.6
	// minImbalance is above the noise of request counts over a few seconds.
	minImbalance = 1.2
	// overloadedUtilization is the utilization at which a queue begins to grow without bound.
	overloadedUtilization = 0.95
	// maxMovesPerPlan lets one plan spread a few hundred busy keys. Each move gives a range
	// of keys to one server, so 48 moves reach a third of the servers of a service with 150.
	maxMovesPerPlan = 48
)
