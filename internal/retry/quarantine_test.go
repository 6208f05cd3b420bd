package retry

import (
	"testing"
	"time"

	"kumquatcleat/internal/fault"
)

// clock is a manually advanced clock.
type clock struct{ t time.Time }

func newClock() *clock                   { return &clock{t: time.Unix(1_000_000, 0)} }
func (c *clock) now() time.Time          { return c.t }
func (c *clock) advance(d time.Duration) { c.t = c.t.Add(d) }

const crashingFingerprint = uint64(7)

func expectRefused(t *testing.T, q *MemoryQuarantine, want bool) {
	t.Helper()
	err := q.Admit("swapbay", crashingFingerprint)
	if got := err != nil; got != want {
		t.Fatalf("got refused %v (%v), want %v", got, err, want)
	}
	if want && fault.KindOf(err) != fault.Quarantined {
		t.Fatalf("got error %v, want kind Quarantined", err)
	}
}

func period() time.Duration { return DefaultQuarantineSettings().Period.Duration() }

func TestRequestIsRefusedAfterTwoServersLost(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crashingFingerprint, "s1")
	q.ServerLost("swapbay", crashingFingerprint, "s1")
	expectRefused(t, q, false)
	q.ServerLost("swapbay", crashingFingerprint, "s2")
	expectRefused(t, q, true)
	if err := q.Admit("swapbay", crashingFingerprint+1); err != nil {
		t.Fatalf("different fingerprint: got %v, want no refusal", err)
	}
	if err := q.Admit("reefread", crashingFingerprint); err != nil {
		t.Fatalf("different service: got %v, want no refusal", err)
	}
}

func TestSuccessfulTrialEndsQuarantine(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crashingFingerprint, "s1")
	q.ServerLost("swapbay", crashingFingerprint, "s2")
	c.advance(period())
	expectRefused(t, q, false) // the trial
	expectRefused(t, q, true)  // only one trial at a time
	q.Ran("swapbay", crashingFingerprint)
	expectRefused(t, q, false)
	expectRefused(t, q, false)
}

func TestFailedTrialRestartsQuarantinePeriod(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crashingFingerprint, "s1")
	q.ServerLost("swapbay", crashingFingerprint, "s2")
	c.advance(period())
	expectRefused(t, q, false)
	q.ServerLost("swapbay", crashingFingerprint, "s3")
	c.advance(period() - time.Second)
	expectRefused(t, q, true)
}

func TestSuccessfulRunClearsEarlierLoss(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crashingFingerprint, "s1")
	q.Ran("swapbay", crashingFingerprint)
	q.ServerLost("swapbay", crashingFingerprint, "s2")
	expectRefused(t, q, false)
}

func TestStalePeerReportDoesNotUndoSuccessfulRun(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crashingFingerprint, "s1")
	q.ServerLost("swapbay", crashingFingerprint, "s2")
	report := q.Snapshot()
	q.Ran("swapbay", crashingFingerprint)
	q.Merge(report)
	expectRefused(t, q, false)
}

func TestLossesSeenByDifferentVMsAddUp(t *testing.T) {
	c := newClock()
	a := NewQuarantine(DefaultQuarantineSettings(), c.now)
	b := NewQuarantine(DefaultQuarantineSettings(), c.now)
	a.ServerLost("swapbay", crashingFingerprint, "s1")
	b.ServerLost("swapbay", crashingFingerprint, "s2")
	a.Merge(b.Snapshot())
	b.Merge(a.Snapshot())
	expectRefused(t, a, true)
	expectRefused(t, b, true)
}

func TestExpiredLossDoesNotCount(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crashingFingerprint, "s1")
	c.advance(period())
	q.ServerLost("swapbay", crashingFingerprint, "s2")
	expectRefused(t, q, false)
}

func TestFullQuarantineEvictsUnrefusedSuspectsFirst(t *testing.T) {
	c := newClock()
	s := DefaultQuarantineSettings()
	s.Entries = 16
	q := NewQuarantine(s, c.now)
	q.ServerLost("swapbay", crashingFingerprint, "s1")
	q.ServerLost("swapbay", crashingFingerprint, "s2")
	for i := range uint64(1000) {
		q.ServerLost("swapbay", 100+i, "s1")
		if len(q.suspects) > s.Entries {
			t.Fatalf("got %d entries, want at most %d", len(q.suspects), s.Entries)
		}
	}
	expectRefused(t, q, true)
}
