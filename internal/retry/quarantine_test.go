package retry

import (
	"testing"
	"time"

	"kumquatcleat/internal/fault"
)

// clock is a settable time source.
type clock struct{ t time.Time }

func newClock() *clock                   { return &clock{t: time.Unix(1_000_000, 0)} }
func (c *clock) now() time.Time          { return c.t }
func (c *clock) advance(d time.Duration) { c.t = c.t.Add(d) }

const crasher = uint64(7)

func expectRefused(t *testing.T, q *MemoryQuarantine, want bool) {
	t.Helper()
	err := q.Admit("swapbay", crasher)
	if got := err != nil; got != want {
		t.Fatalf("refused %v (%v), want %v", got, err, want)
	}
	if want && fault.KindOf(err) != fault.Quarantined {
		t.Fatalf("kind of %v", err)
	}
}

func period() time.Duration { return DefaultQuarantineSettings().Period.Duration() }

func TestSecondLostServerStopsTheRequest(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crasher, "s1")
	q.ServerLost("swapbay", crasher, "s1")
	expectRefused(t, q, false)
	q.ServerLost("swapbay", crasher, "s2")
	expectRefused(t, q, true)
	if err := q.Admit("swapbay", crasher+1); err != nil {
		t.Fatalf("another request was refused: %v", err)
	}
	if err := q.Admit("reefread", crasher); err != nil {
		t.Fatalf("another service was refused: %v", err)
	}
}

func TestHealthyRequestWronglyCaughtGetsOutByItsTrial(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crasher, "s1")
	q.ServerLost("swapbay", crasher, "s2")
	c.advance(period())
	expectRefused(t, q, false) // the trial
	expectRefused(t, q, true)  // one at a time
	q.Ran("swapbay", crasher)
	expectRefused(t, q, false)
	expectRefused(t, q, false)
}

func TestLostTrialBeginsThePeriodAgain(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crasher, "s1")
	q.ServerLost("swapbay", crasher, "s2")
	c.advance(period())
	expectRefused(t, q, false)
	q.ServerLost("swapbay", crasher, "s3")
	c.advance(period() - time.Second)
	expectRefused(t, q, true)
}

func TestRunBetweenLossesClearsThem(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crasher, "s1")
	q.Ran("swapbay", crasher)
	q.ServerLost("swapbay", crasher, "s2")
	expectRefused(t, q, false)
}

func TestPeersOldReportDoesNotUndoARun(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crasher, "s1")
	q.ServerLost("swapbay", crasher, "s2")
	report := q.Snapshot()
	q.Ran("swapbay", crasher)
	q.Merge(report)
	expectRefused(t, q, false)
}

func TestTwoVMsThatLostOneServerEachRefuseTogether(t *testing.T) {
	c := newClock()
	a := NewQuarantine(DefaultQuarantineSettings(), c.now)
	b := NewQuarantine(DefaultQuarantineSettings(), c.now)
	a.ServerLost("swapbay", crasher, "s1")
	b.ServerLost("swapbay", crasher, "s2")
	a.Merge(b.Snapshot())
	b.Merge(a.Snapshot())
	expectRefused(t, a, true)
	expectRefused(t, b, true)
}

func TestLossOfLongAgoDoesNotCount(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crasher, "s1")
	c.advance(period())
	q.ServerLost("swapbay", crasher, "s2")
	expectRefused(t, q, false)
}

func TestFullQuarantineForgetsSuspectsBeforeRefused(t *testing.T) {
	c := newClock()
	s := DefaultQuarantineSettings()
	s.Entries = 16
	q := NewQuarantine(s, c.now)
	q.ServerLost("swapbay", crasher, "s1")
	q.ServerLost("swapbay", crasher, "s2")
	for i := range uint64(1000) {
		q.ServerLost("swapbay", 100+i, "s1")
		if len(q.suspects) > s.Entries {
			t.Fatalf("%d entries, bound %d", len(q.suspects), s.Entries)
		}
	}
	expectRefused(t, q, true)
}
