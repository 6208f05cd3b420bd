package gateway

import (
	"testing"
	"time"
)

// The keys of a server that is lost without a word are served again within 3 s on
// average: half a renewal's interval, the renewal that it leaves unanswered, and
// the latest end of the lease that this one may have begun.
func TestKeysOfALostServerAreFreeInTime(t *testing.T) {
	const target = 3 * time.Second
	s := testSettings("vm", "a")
	s.HoldMaxS = 10
	timing := keyspaceSettings(s, 65536).Timing
	hold := timing.Hold + timing.Hold*time.Duration(timing.DriftPerMill)/1000 + timing.Slack
	if mean := timing.Renew/2 + timing.CallTimeout + timing.LinkQueue + hold; mean > target {
		t.Errorf("free after %v on average, want %v", mean, target)
	}
}

// A successor coordinates before the leases of keys end that the last coordinator
// renewed, wherever it stood in its interval.
func TestSuccessorComesBeforeLeasesEnd(t *testing.T) {
	s := testSettings("vm", "a")
	s.HoldMaxS = 10
	settings := keyspaceSettings(s, 65536)
	lead, timing := settings.Lead, settings.Timing
	// The coordinator is lost half an interval after its renewal on average, and the
	// successor counts the lease from when it saw that, as late again.
	takeover := lead.Lease + lead.Lease*time.Duration(lead.DriftPerMill)/1000 + 2*settings.Tick
	if left := timing.Hold - timing.Renew/2; takeover > left {
		t.Errorf("a successor takes over after %v, leases last %v more on average", takeover, left)
	}
	if leadRenew+leadCallTimeout >= leadLease {
		t.Error("a renewal without an answer outlasts the lease")
	}
}
