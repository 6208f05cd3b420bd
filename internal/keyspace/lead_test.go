package keyspace

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"kumquatcleat/internal/rows"
)

// oneRow is a store of one row whose writes can be left unanswered.
type oneRow struct {
	mu     sync.Mutex // owns the fields below
	row    rows.Row
	silent bool
}

var errNoAnswer = errors.New("no answer")

func (s *oneRow) Get(context.Context, string, string) (rows.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return rows.Row{}, errNoAnswer
	}
	return s.row, nil
}

func (s *oneRow) Commit(_ context.Context, writes []rows.Write) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := writes[0]
	switch {
	case s.silent:
		return 0, errNoAnswer
	case w.Expect != s.row.Version:
		return 0, rows.ErrConflict
	case w.Delete:
		s.row = rows.Row{}
		return 0, nil
	}
	s.row = rows.Row{Key: w.Key, Value: w.Value, Version: s.row.Version + 1}
	return s.row.Version, nil
}

func (s *oneRow) List(context.Context, string) (rows.Page, error) { return rows.Page{}, nil }

func (s *oneRow) Watch(context.Context, string, uint64, time.Duration) (rows.Page, error) {
	return rows.Page{}, nil
}

func (s *oneRow) exists() bool { return s.row.Version != 0 }

// side is one VM's way to the store, which may be cut.
type side struct {
	*oneRow
	cut bool
}

func (s *side) Get(ctx context.Context, table, key string) (rows.Row, error) {
	if s.cut {
		return rows.Row{}, errNoAnswer
	}
	return s.oneRow.Get(ctx, table, key)
}

func (s *side) Commit(ctx context.Context, writes []rows.Write) (uint64, error) {
	if s.cut {
		return 0, errNoAnswer
	}
	return s.oneRow.Commit(ctx, writes)
}

// leadRig is a store with a clock that tests move, and a standby that is asked.
type leadRig struct {
	store   *oneRow
	now     time.Duration
	standby *CoordinatorLease
}

func (r *leadRig) lead(vm string) *CoordinatorLease {
	l, _ := r.leadOn(vm)
	return l
}

func (r *leadRig) leadOn(vm string) (*CoordinatorLease, *side) {
	s := CoordinatorLeaseSettings{Duration: time.Second, RenewInterval: 300 * time.Millisecond, DegradedAfter: time.Second, CallTimeout: time.Second,
		LongLease: testLongHold, DriftPerMill: 25}
	way := &side{oneRow: r.store}
	ask := func(ctx context.Context, q StandbyRequest) (StandbyAnswer, error) {
		if r.standby == nil {
			return StandbyAnswer{}, errNoAnswer
		}
		return r.standby.HandleStandbyRequest(ctx, q), nil
	}
	self := Process{VM: vm, Start: "start-" + vm}
	return NewCoordinatorLease(s, way, "lead", self, func() time.Duration { return r.now }, func() int { return 0 }, ask), way
}

func newLeadRig() *leadRig { return &leadRig{store: &oneRow{}, now: time.Minute} }

// coordinating returns a coordinator whose row names a standby.
func (r *leadRig) coordinating(t *testing.T) (a, standby *CoordinatorLease, aWay, standbyWay *side) {
	t.Helper()
	a, aWay = r.leadOn("a")
	standby, standbyWay = r.leadOn("s")
	r.standby = standby
	a.poll(t.Context())
	a.askStandbyOnce(t.Context())
	a.renew(t.Context())
	standby.poll(t.Context())
	if !a.Held() || readClaim(r.store.row).Standby != standby.self.Process {
		t.Fatalf("held %v, row %s; want a standby in it", a.Held(), r.store.row.Value)
	}
	return a, standby, aWay, standbyWay
}

// strained returns a coordinator that gives long leases, with its standby's consent:
// neither reaches the store.
func (r *leadRig) strained(t *testing.T) (a, standby *CoordinatorLease, aWay, standbyWay *side) {
	t.Helper()
	a, standby, aWay, standbyWay = r.coordinating(t)
	aWay.cut, standbyWay.cut = true, true
	a.renew(t.Context())
	a.askStandbyOnce(t.Context())
	if !a.LongLeasesAllowed() {
		t.Fatal("no long leases although nobody reaches the store")
	}
	return a, standby, aWay, standbyWay
}

// takesOver lets a coordinator's lease lapse and another VM take its place.
func (r *leadRig) takesOver(t *testing.T, next *CoordinatorLease) {
	t.Helper()
	next.poll(t.Context())
	r.now += 1500 * time.Millisecond
	next.poll(t.Context())
	if !next.Held() {
		t.Fatal("the lapsed right was not taken")
	}
}

const testLongHold = 6 * time.Second

// Long leases are given only while the standby does not reach the store either.
func TestLongLeasesNeedTheStandbysConsent(t *testing.T) {
	for name, c := range map[string]struct{ standbyCut, want bool }{
		"the store is away":           {true, true},
		"only the coordinator is cut": {false, false},
	} {
		r := newLeadRig()
		a, _, aWay, standbyWay := r.coordinating(t)
		aWay.cut, standbyWay.cut = true, c.standbyCut
		a.renew(t.Context())
		a.askStandbyOnce(t.Context())
		if got := a.LongLeasesAllowed(); got != c.want {
			t.Errorf("%s: long leases %v", name, got)
		}
	}
}

// A standby that takes over knows whether long leases are out; others, and a standby
// that was started again, assume it.
func TestStandbyKnowsOfLongLeases(t *testing.T) {
	t.Run("none were given", func(t *testing.T) {
		r := newLeadRig()
		_, standby, _, _ := r.coordinating(t)
		r.takesOver(t, standby)
		if standby.LongLeasesOutstanding() {
			t.Fatal("long leases are assumed")
		}
	})
	t.Run("it consented", func(t *testing.T) {
		r := newLeadRig()
		_, standby, _, standbyWay := r.strained(t)
		standbyWay.cut = false
		r.takesOver(t, standby)
		if !standby.LongLeasesOutstanding() {
			t.Fatal("its own consent is forgotten")
		}
	})
	t.Run("another VM", func(t *testing.T) {
		r := newLeadRig()
		r.coordinating(t)
		third := r.lead("t")
		r.takesOver(t, third)
		if !third.LongLeasesOutstanding() {
			t.Fatal("a VM that can't know assumes no long leases")
		}
	})
	t.Run("started again", func(t *testing.T) {
		r := newLeadRig()
		r.coordinating(t)
		again := r.lead("s")
		again.self.Start = "another"
		r.takesOver(t, again)
		if !again.LongLeasesOutstanding() {
			t.Fatal("a start that can't know assumes no long leases")
		}
	})
	t.Run("long leases of an earlier strain", func(t *testing.T) {
		r := newLeadRig()
		a, _, aWay, standbyWay := r.strained(t)
		aWay.cut, standbyWay.cut = false, false
		a.renew(t.Context())
		next, _ := r.leadOn("n") // another standby, which was not asked then
		r.standby = next
		a.askStandbyOnce(t.Context())
		a.renew(t.Context())
		r.takesOver(t, next)
		if !next.LongLeasesOutstanding() {
			t.Fatal("the row does not tell of long leases")
		}
	})
}

// Consent of a VM that the row may not name does not count: another could take over.
func TestConsentOfAnotherVMDoesNotCount(t *testing.T) {
	r := newLeadRig()
	a, _, aWay, standbyWay := r.coordinating(t)
	other, otherWay := r.leadOn("o")
	r.standby = other
	a.askStandbyOnce(t.Context())
	aWay.cut, standbyWay.cut, otherWay.cut = true, true, true
	a.renew(t.Context()) // names the other VM, and may be carried out or not
	a.askStandbyOnce(t.Context())
	if a.LongLeasesAllowed() {
		t.Fatal("long leases by the consent of a VM that the row may not name")
	}
}

// A coordinator that was strained may have given long leases itself, so it must
// not hand its right over.
func TestStrainEndsAHandover(t *testing.T) {
	r := newLeadRig()
	if a, _, _, _ := newLeadRig().coordinating(t); a.LongLeasesOutstanding() {
		t.Fatal("a right that was free began with long leases")
	}
	a, _, aWay, _ := r.strained(t)
	aWay.cut = false
	r.now += 2 * time.Second // the right lapses
	a.renew(t.Context())
	if !a.Held() || !a.LongLeasesOutstanding() {
		t.Fatalf("held %v, long leases %v, after a strain", a.Held(), a.LongLeasesOutstanding())
	}
	if err := a.Resign(t.Context()); err != nil || !r.store.exists() {
		t.Fatalf("%v; the right was handed over while long leases may be out", err)
	}
}

// A coordinator that took over from a silent one passes on that long leases may be
// out, until the last of them is over.
func TestInheritedLongLeasesAreNotHandedOver(t *testing.T) {
	r := newLeadRig()
	r.lead("a").poll(t.Context())
	b := r.lead("b")
	r.takesOver(t, b)
	if !b.LongLeasesOutstanding() {
		t.Fatal("a right that lapsed began without long leases")
	}
	if err := b.Resign(t.Context()); err != nil || !r.store.exists() {
		t.Fatalf("%v; the right was handed over while long leases may be out", err)
	}
	c := r.lead("c")
	r.takesOver(t, c)
	for range 30 {
		r.now += 300 * time.Millisecond
		c.renew(t.Context())
	}
	if err := c.Resign(t.Context()); err != nil || r.store.exists() {
		t.Fatalf("%v; a right that was held past all long leases is handed over", err)
	}
}

// A VM that stands in looks again right when the lease that it knows of is over,
// and does not press a store that does not answer.
func TestLooksComeWhenTheLeaseEnds(t *testing.T) {
	r := newLeadRig()
	_, next, _, _ := r.coordinating(t)
	r.now += 900 * time.Millisecond
	if got := next.pollInterval(); got < 100*time.Millisecond || got > 150*time.Millisecond {
		t.Errorf("looks again after %v, the lease ends in 125 ms", got)
	}
	r.now += 2 * time.Second
	if got := next.pollInterval(); got != minPollInterval {
		t.Errorf("after the lease it looks again after %v", got)
	}
	next.HandleStandbyRequest(t.Context(), StandbyRequest{}) // asked again, by a coordinator that is slow
	if err := next.Resign(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := next.pollInterval(); got < 10*time.Second {
		t.Errorf("a VM that stops looks again after %v", got)
	}
}

// VMs whose reports the coordinator does not take look for themselves, soon and in
// turn: without word they would look seconds later.
func TestSuspicionMakesFirstVMsLook(t *testing.T) {
	r := newLeadRig()
	r.coordinating(t)
	for rank, want := range map[int]bool{2: true, suspectPollers: false} {
		l := r.lead("x")
		l.rank = func() int { return rank }
		l.poll(t.Context())
		l.SuspectCoordinator()
		if often := l.pollInterval() <= l.settings.RenewInterval; often != want {
			t.Errorf("rank %d looks again after %v", rank, l.pollInterval())
		}
	}
}

// A coordinator whose right is over for long stops pressing a store that refuses it.
func TestLostRightIsNotPressedFor(t *testing.T) {
	r := newLeadRig()
	a, _, aWay, _ := r.coordinating(t)
	aWay.cut = true
	r.now += 900 * time.Millisecond
	if !a.shouldRenew() {
		t.Fatal("gives up before its lease is over")
	}
	r.now += 2 * time.Second
	if a.shouldRenew() {
		t.Fatal("goes on renewing a right that is over")
	}
}

// Consent is asked for at once also where the store refuses instead of being silent.
func TestRefusalWakesTheQuestionForConsent(t *testing.T) {
	r := newLeadRig()
	a, _, aWay, _ := r.coordinating(t)
	for len(a.standbySignal) > 0 {
		<-a.standbySignal
	}
	aWay.cut = true
	a.renew(t.Context())
	if len(a.standbySignal) != 1 {
		t.Fatal("the standby is not asked")
	}
}

// A VM whose right lapsed must not write under the right of the VM that took over,
// whose row it has read since.
func TestLapsedCoordinatorHasNoCondition(t *testing.T) {
	r := newLeadRig()
	a, standby, aWay, _ := r.coordinating(t)
	aWay.cut = true
	r.takesOver(t, standby)
	r.now += 2 * time.Second
	standby.renew(t.Context())
	aWay.cut = false
	if a.shouldRenew() {
		t.Fatal("the lapsed right counts as held")
	}
	a.poll(t.Context())
	if condition, held := a.WriteCondition(); held {
		t.Fatalf("writes under version %d, the right of %s", condition.Expect, standby.self.VM)
	}
}

// A VM that becomes a standby begins to look at once: one of a low rank would else
// sleep through the loss of its coordinator.
func TestNewStandbyBeginsToLook(t *testing.T) {
	r := newLeadRig()
	s := r.lead("s")
	s.rank = func() int { return suspectPollers }
	s.HandleStandbyRequest(t.Context(), StandbyRequest{})
	if len(s.pollSignal) != 1 {
		t.Fatal("goes on sleeping")
	}
	<-s.pollSignal
	s.HandleStandbyRequest(t.Context(), StandbyRequest{})
	if len(s.pollSignal) != 0 {
		t.Fatal("is woken by each question")
	}
}
