package retry

import (
	"fmt"
	"testing"
	"time"

	"kumquatcleat/internal/fault"
)

// clock is a manually advanced clock.
type clock struct{ t time.Time }

func newClock() *clock                   { return &clock{t: time.Unix(1_000_000, 0)} }
func (c *clock) now() time.Time          { return c.t }
func (c *clock) advance(d time.Duration) { c.t = c.t.Add(d) }

var crashing = requestOf(7)

// requestOf returns a request without a query.
func requestOf(fingerprint uint64) Fingerprints {
	return Fingerprints{Request: fingerprint, Path: fingerprint}
}

func expectRefused(t *testing.T, q *MemoryQuarantine, want bool) {
	t.Helper()
	err := q.Admit("swapbay", crashing)
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
	q.ServerLost("swapbay", crashing, "s1")
	q.ServerLost("swapbay", crashing, "s1")
	expectRefused(t, q, false)
	q.ServerLost("swapbay", crashing, "s2")
	expectRefused(t, q, true)
	if err := q.Admit("swapbay", requestOf(8)); err != nil {
		t.Fatalf("different fingerprint: got %v, want no refusal", err)
	}
	if err := q.Admit("reefread", crashing); err != nil {
		t.Fatalf("different service: got %v, want no refusal", err)
	}
}

func TestSuccessfulTrialEndsQuarantine(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crashing, "s1")
	q.ServerLost("swapbay", crashing, "s2")
	c.advance(period())
	expectRefused(t, q, false) // the trial
	expectRefused(t, q, true)  // only one trial at a time
	q.Ran("swapbay", crashing)
	expectRefused(t, q, false)
	expectRefused(t, q, false)
}

func TestFailedTrialRestartsQuarantinePeriod(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crashing, "s1")
	q.ServerLost("swapbay", crashing, "s2")
	c.advance(period())
	expectRefused(t, q, false)
	q.ServerLost("swapbay", crashing, "s3")
	c.advance(period() - time.Second)
	expectRefused(t, q, true)
}

func TestSuccessfulRunClearsEarlierLoss(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crashing, "s1")
	q.Ran("swapbay", crashing)
	q.ServerLost("swapbay", crashing, "s2")
	expectRefused(t, q, false)
}

func TestStalePeerReportDoesNotUndoSuccessfulRun(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crashing, "s1")
	q.ServerLost("swapbay", crashing, "s2")
	report := q.Snapshot()
	q.Ran("swapbay", crashing)
	q.Merge(report)
	expectRefused(t, q, false)
}

func TestLossesSeenByDifferentVMsAddUp(t *testing.T) {
	c := newClock()
	a := NewQuarantine(DefaultQuarantineSettings(), c.now)
	b := NewQuarantine(DefaultQuarantineSettings(), c.now)
	a.ServerLost("swapbay", crashing, "s1")
	b.ServerLost("swapbay", crashing, "s2")
	a.Merge(b.Snapshot())
	b.Merge(a.Snapshot())
	expectRefused(t, a, true)
	expectRefused(t, b, true)
}

func TestExpiredLossDoesNotCount(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.ServerLost("swapbay", crashing, "s1")
	c.advance(period())
	q.ServerLost("swapbay", crashing, "s2")
	expectRefused(t, q, false)
}

func TestFullQuarantineEvictsUnrefusedSuspectsFirst(t *testing.T) {
	c := newClock()
	s := DefaultQuarantineSettings()
	s.Entries = 16
	q := NewQuarantine(s, c.now)
	q.ServerLost("swapbay", crashing, "s1")
	q.ServerLost("swapbay", crashing, "s2")
	for i := range uint64(1000) {
		q.ServerLost("swapbay", requestOf(100+i), "s1")
		if len(q.suspects) > s.Entries {
			t.Fatalf("got %d entries, want at most %d", len(q.suspects), s.Entries)
		}
	}
	expectRefused(t, q, true)
}

// Guards against a popular, harmless page that is refused because it was at work on several
// servers that ended: another VM ran it later, before or after it hears of the losses.
func TestLaterRunOnAnotherVMClearsLosses(t *testing.T) {
	for _, ranFirst := range []bool{true, false} {
		c := newClock()
		a := NewQuarantine(DefaultQuarantineSettings(), c.now)
		b := NewQuarantine(DefaultQuarantineSettings(), c.now)
		a.ServerLost("swapbay", crashing, "s1")
		a.ServerLost("swapbay", crashing, "s2")
		c.advance(100 * time.Millisecond)
		if ranFirst {
			b.Ran("swapbay", crashing)
		}
		c.advance(100 * time.Millisecond)
		b.Merge(a.Snapshot())
		if !ranFirst {
			b.Ran("swapbay", crashing)
		}
		expectRefused(t, b, false)
		a.Merge(b.Snapshot())
		expectRefused(t, a, false)
		a.ServerLostAt(c.now().Add(-150*time.Millisecond), "swapbay", crashing, "s3")
		expectRefused(t, a, false)
	}
}

// A run some time before the servers were lost says nothing about them.
func TestOldRunDoesNotClearLosses(t *testing.T) {
	c := newClock()
	a := NewQuarantine(DefaultQuarantineSettings(), c.now)
	b := NewQuarantine(DefaultQuarantineSettings(), c.now)
	b.Ran("swapbay", crashing)
	c.advance(recentRun + 100*time.Millisecond)
	a.ServerLost("swapbay", crashing, "s1")
	a.ServerLost("swapbay", crashing, "s2")
	b.Merge(a.Snapshot())
	expectRefused(t, b, true)
}

// Since returns each change once, in order, and to others only what they need.
func TestChangesOfSuspectsAreReturnedOnce(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	for fingerprint := range uint64(10) {
		q.ServerLost("swapbay", requestOf(fingerprint), "s1")
	}
	first, next := q.Since(0, 6, false)
	rest, end := q.Since(next, 6, false)
	if len(first) != 6 || len(rest) != 4 || first[0].Fingerprint != 0 || rest[3].Fingerprint != 9 {
		t.Fatalf("got %d and %d suspects, want 6 and 4 in order", len(first), len(rest))
	}
	if again, _ := q.Since(end, 6, false); len(again) != 0 {
		t.Fatalf("got %d suspects without a change, want none", len(again))
	}
	if refused, _ := q.Since(0, 6, true); len(refused) != 0 {
		t.Fatalf("got %v, want none refused", refused)
	}
	q.ServerLost("swapbay", crashing, "s2")
	if refused, _ := q.Since(0, 6, true); len(refused) != 2 || refused[0].Fingerprint != crashing.Path {
		t.Fatalf("got %v, want both losses of the refused fingerprint", refused)
	}
	q.Ran("swapbay", crashing)
	if cleared, _ := q.Since(end+1, 6, true); len(cleared) != 1 || len(cleared[0].Servers) != 0 {
		t.Fatalf("got %v, want the successful run", cleared)
	}
}

// Guards against a popular page that is refused because it was at work on several servers that
// ended shortly after it had run, before others could tell that it has run since; and against its run
// excusing what is lost later.
func TestLossesShortlyAfterRunCountLater(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.Ran("swapbay", crashing)
	c.advance(recentRun - time.Millisecond)
	for _, server := range []string{"s1", "s2", "s3"} {
		q.ServerLost("swapbay", crashing, server)
	}
	c.advance(runReportDelay - time.Millisecond)
	expectRefused(t, q, false)
	c.advance(time.Millisecond)
	expectRefused(t, q, true)
	q.Ran("swapbay", crashing)
	expectRefused(t, q, false)
	q.ServerLost("swapbay", crashing, "s4")
	c.advance(runReportDelay)
	expectRefused(t, q, false)
}

// Guards against a popular page that stays refused because it was at work on many servers that
// ended, and against many trials of one that goes on crashing servers.
func TestTrialsOfRequestThatRanBeforeBackOff(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.TryEarly(func() bool { return true })
	q.Ran("swapbay", crashing)
	for i := range 4 {
		c.advance(time.Second)
		q.ServerLost("swapbay", crashing, fmt.Sprint("s", i))
	}
	c.advance(runReportDelay)
	trials := 0
	for range 2400 { // four minutes
		if q.Admit("swapbay", crashing) == nil {
			trials++
			q.ServerLost("swapbay", crashing, fmt.Sprint("trial", trials))
		}
		c.advance(100 * time.Millisecond)
	}
	if trials < 1 || trials > 3 {
		t.Errorf("got %d trials in four minutes, want 1 to 3", trials)
	}
}

// Guards against refusing a popular page because it was at work on servers that another request
// crashed, be it there before that request or not.
func TestRequestThatCrashesServersExplainsLossesOfOthers(t *testing.T) {
	for _, pageFirst := range []bool{false, true} {
		c := newClock()
		q := NewQuarantine(DefaultQuarantineSettings(), c.now)
		page := requestOf(9)
		for i := range 4 {
			server, at := fmt.Sprint("s", i), c.now()
			if i > 0 {
				if pageFirst {
					at = at.Add(-time.Second)
				}
				q.ServerLostAt(at, "swapbay", page, server)
			}
			q.ServerLost("swapbay", crashing, server)
			c.advance(200 * time.Millisecond)
		}
		c.advance(runReportDelay)
		expectRefused(t, q, true)
		if err := q.Admit("swapbay", page); err != nil {
			t.Errorf("the page at work on the same servers, page first %v: %v", pageFirst, err)
		}
		for _, server := range []string{"s8", "s9"} { // the other request was not there
			q.ServerLost("swapbay", page, server)
		}
		if q.Admit("swapbay", page) == nil {
			t.Errorf("the page is admitted after two servers that nothing else explains, page first %v", pageFirst)
		}
	}
}

// One VM admits one trial soon after the second loss; its success admits the request again. A
// third loss rules the trial out.
func TestEarlyTrialIsAdmittedOnce(t *testing.T) {
	c := newClock()
	q := NewQuarantine(DefaultQuarantineSettings(), c.now)
	q.TryEarly(func() bool { return true })
	q.ServerLost("swapbay", crashing, "s1")
	q.ServerLost("swapbay", crashing, "s2")
	expectRefused(t, q, true)
	c.advance(earlyTrialDelay)
	expectRefused(t, q, false) // the trial
	expectRefused(t, q, true)
	q.ServerLost("swapbay", crashing, "s3")
	c.advance(time.Minute)
	expectRefused(t, q, true)
	q.Ran("swapbay", crashing)
	expectRefused(t, q, false)
}

// One query that crashes servers does not keep others from a path that runs well with them, and
// queries that differ each time are counted together.
func TestQuarantineCountsQueriesApartAndTogether(t *testing.T) {
	q := NewQuarantine(DefaultQuarantineSettings(), newClock().now)
	good, bad := Fingerprints{Request: 1, Path: 9}, Fingerprints{Request: 2, Path: 9}
	q.ServerLost("swapbay", bad, "s1")
	q.Ran("swapbay", good)
	q.ServerLost("swapbay", bad, "s2")
	if q.Admit("swapbay", bad) == nil || q.Admit("swapbay", good) != nil {
		t.Error("want the query that crashes servers refused and the other one admitted")
	}
	for i, server := range []string{"s1", "s2"} {
		q.ServerLost("reefread", Fingerprints{Request: uint64(i), Path: 9}, server)
	}
	if q.Admit("reefread", Fingerprints{Request: 7, Path: 9}) == nil {
		t.Error("a path under which two servers were lost with different queries is admitted")
	}
}
