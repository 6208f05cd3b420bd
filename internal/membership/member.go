package membership

import (
	"time"

	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
)

// never is the time of an event that has not happened.
const never = time.Duration(-1 << 62)

// member is the state of one VM in a View. All times are on the View's clock.
type member struct {
	vm   platform.VM
	hash uint64 // of the id; position on the hash ring

	listed   bool          // the newest list read contains this incarnation
	listedAt time.Duration // time described by the newest read that contains it
	knownAt  time.Duration // when this incarnation became known

	heardAt  time.Duration // when it last ran for certain, by an answer or a peer's report
	stopping bool          // it states that it is shutting down

	answeredAt time.Duration // when it last answered a ping of this VM

	nextPing    time.Duration
	failures    int           // consecutive unanswered pings
	silentSince time.Duration // start of the silence; valid if failures > 0
	failedAt    time.Duration // time of the last failed ping; valid if failures > 0
	suspected   bool
}

func (m *member) ref() ownership.VMRef {
	return ownership.VMRef{ID: m.vm.ID, Incarnation: m.vm.Incarnation}
}

// lastKnownRunning returns the last time at which this incarnation was known to run.
func (m *member) lastKnownRunning() time.Duration { return max(m.heardAt, m.listedAt) }

// leaving reports whether the VM is shutting down and must not get new roles.
func (m *member) leaving() bool { return m.stopping || m.vm.State == platform.VMLeaving }

// presumedRunning reports whether the VM is listed or was heard from, and is not
// suspected. View.isLive also excludes a VM that another one replaced at its address.
func (m *member) presumedRunning() bool {
	if m.suspected {
		return false
	}
	return m.listed || m.heardAt != never
}

// recordHeard records that the VM ran at the given time.
func (m *member) recordHeard(at time.Duration) {
	m.heardAt = max(m.heardAt, at)
	if at >= m.silentSince {
		m.failures = 0
	}
}

// recordPingFailure records an unanswered ping.
func (m *member) recordPingFailure(now time.Duration, s Settings) {
	if m.failures == 0 {
		m.silentSince = max(m.heardAt, now-s.PingInterval)
	}
	m.failures++
	m.failedAt = now
}

// minFailures is the number of consecutive pings that must fail before a VM is
// suspected. With 1, a single lost packet would be enough.
const minFailures = 2

// shouldSuspect reports whether the VM must be suspected now.
func (m *member) shouldSuspect(now time.Duration, s Settings) bool {
	if m.failures >= minFailures && now-m.silentSince >= s.SuspicionTime {
		return true
	}
	unlistedAndQuiet := !m.listed && m.heardAt != never && now-m.heardAt >= s.ListGrace
	return unlistedAndQuiet
}

// absenceProvesGone reports whether a list read that describes the time asOf and does
// not contain the VM proves that this incarnation has stopped.
func (m *member) absenceProvesGone(asOf time.Duration, s Settings) bool {
	if m.listedAt != never {
		return asOf > m.lastKnownRunning()
	}
	return asOf > max(m.heardAt, m.knownAt)+s.ListGrace
}
