package membership

import (
	"time"

	"kumquatcleat/internal/ownership"
	"kumquatcleat/internal/platform"
)

// never is the time of an event that has not happened.
const never = time.Duration(-1 << 62)

// member is what a View knows of one VM. All times are the View's own.
type member struct {
	vm   platform.VM
	hash uint64 // of the id: position on the hash ring

	listed   bool          // the newest list read names this incarnation
	listedAt time.Duration // what the newest read that named it was the truth of
	knownAt  time.Duration // when this incarnation was first heard of

	heardAt  time.Duration // when it last ran for certain: an answer, or a witness
	stopping bool          // it said so itself

	answeredAt time.Duration // when it last answered this VM itself

	nextPing    time.Duration
	failures    int           // pings in a row without an answer
	silentSince time.Duration // since when, with failures above 0
	failedAt    time.Duration // when the last ping failed, with failures above 0
	suspected   bool
}

func (m *member) ref() ownership.VMRef {
	return ownership.VMRef{ID: m.vm.ID, Incarnation: m.vm.Incarnation}
}

// lastProof returns the last time at which this incarnation was known to run.
func (m *member) lastProof() time.Duration { return max(m.heardAt, m.listedAt) }

// leaving reports whether the VM must not get a new role.
func (m *member) leaving() bool { return m.stopping || m.vm.State == platform.VMLeaving }

// live reports whether the VM is taken for running.
func (m *member) live() bool {
	if m.suspected {
		return false
	}
	return m.listed || m.heardAt != never
}

// heard records that the VM ran at a time.
func (m *member) heard(at time.Duration) {
	m.heardAt = max(m.heardAt, at)
	if at >= m.silentSince {
		m.failures = 0
	}
}

// failed records a ping without an answer.
func (m *member) failed(now time.Duration, s Settings) {
	if m.failures == 0 {
		m.silentSince = max(m.heardAt, now-s.PingInterval)
	}
	m.failures++
	m.failedAt = now
}

// minFailures is how many pings in a row must fail before a VM is suspected;
// with 1, a single lost packet is enough.
const minFailures = 2

// silent reports whether the VM is to be suspected now.
func (m *member) silent(now time.Duration, s Settings) bool {
	if m.failures >= minFailures && now-m.silentSince >= s.SuspicionTime {
		return true
	}
	unlistedAndQuiet := !m.listed && m.heardAt != never && now-m.heardAt >= s.ListGrace
	return unlistedAndQuiet
}

// gone reports whether a list read that does not name the VM, and was the truth
// as of a time, proves that this incarnation no longer runs.
func (m *member) gone(asOf time.Duration, s Settings) bool {
	if m.listedAt != never {
		return asOf > m.lastProof()
	}
	return asOf > max(m.heardAt, m.knownAt)+s.ListGrace
}
