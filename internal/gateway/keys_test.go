package gateway

import (
	"testing"
	"time"
)

// The keys of a server that fails silently are served again within 3 s on average. That
// time is half a renewal interval, the timeout of the unanswered renewal, and the
// latest expiry of the lease that this renewal may have started.
func TestKeysOfFailedServerAreServedAgainInTime(t *testing.T) {
	const target = 3 * time.Second
	s := testSettings("vm", "a")
	s.HoldMaxS = 10
	timing := keyspaceSettings(s, 65536).Timing
	lease := timing.Lease + timing.Lease*time.Duration(timing.DriftPerMill)/1000 + timing.Slack
	if mean := timing.RenewInterval/2 + timing.CallTimeout + timing.LinkQueueDelay + lease; mean > target {
		t.Errorf("got keys free after %v on average, want at most %v", mean, target)
	}
}

// After a coordinator fails, its successor takes over before the key leases expire that
// the failed coordinator renewed last.
func TestCoordinatorTakeoverPrecedesKeyLeaseExpiry(t *testing.T) {
	s := testSettings("vm", "a")
	s.HoldMaxS = 10
	settings := keyspaceSettings(s, 65536)
	lease, timing := settings.CoordinatorLease, settings.Timing
	// On average the coordinator fails half an interval after its renewal. The successor
	// counts the lease from when it saw that renewal, which is as much later.
	takeover := lease.Duration + lease.Duration*time.Duration(lease.DriftPerMill)/1000 + 2*settings.Tick
	if left := timing.Lease - timing.RenewInterval/2; takeover > left {
		t.Errorf("got takeover after %v, want within the %v on average until key leases expire", takeover, left)
	}
	if coordinatorLeaseRenewInterval+coordinatorLeaseCallTimeout >= coordinatorLeaseDuration {
		t.Error("got an unanswered renewal that times out after the lease expires, want before")
	}
}
