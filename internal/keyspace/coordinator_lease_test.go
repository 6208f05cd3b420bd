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
type oneRowStore struct {
	mu           sync.Mutex // owns the fields below
	row          rows.Row
	unresponsive bool
}

var errNoAnswer = errors.New("no answer")

func (s *oneRowStore) Get(context.Context, string, string) (rows.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unresponsive {
		return rows.Row{}, errNoAnswer
	}
	return s.row, nil
}

func (s *oneRowStore) Commit(_ context.Context, writes []rows.Write) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := writes[0]
	switch {
	case s.unresponsive:
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

func (s *oneRowStore) List(context.Context, string) (rows.Page, error) { return rows.Page{}, nil }

func (s *oneRowStore) Watch(context.Context, string, uint64, time.Duration) (rows.Page, error) {
	return rows.Page{}, nil
}

func (s *oneRowStore) exists() bool { return s.row.Version != 0 }

// side is one VM's way to the store, which may be cut.
type vmStore struct {
	*oneRowStore
	disconnected bool
}

func (s *vmStore) Get(ctx context.Context, table, key string) (rows.Row, error) {
	if s.disconnected {
		return rows.Row{}, errNoAnswer
	}
	return s.oneRowStore.Get(ctx, table, key)
}

func (s *vmStore) Commit(ctx context.Context, writes []rows.Write) (uint64, error) {
	if s.disconnected {
		return 0, errNoAnswer
	}
	return s.oneRowStore.Commit(ctx, writes)
}

// leadRig is a store with a clock that tests move, and a standby that is asked.
type leaseRig struct {
	store   *oneRowStore
	now     time.Duration
	standby *CoordinatorLease
}

func (r *leaseRig) newLease(vm string) *CoordinatorLease {
	l, _ := r.newLeaseWithStore(vm)
	return l
}

func (r *leaseRig) newLeaseWithStore(vm string) (*CoordinatorLease, *vmStore) {
	s := CoordinatorLeaseSettings{Duration: time.Second, RenewInterval: 300 * time.Millisecond, DegradedAfter: time.Second, CallTimeout: time.Second,
		LongLease: testLongLease, DriftPerMill: 25}
	store := &vmStore{oneRowStore: r.store}
	ask := func(ctx context.Context, q StandbyRequest) (StandbyAnswer, error) {
		if r.standby == nil {
			return StandbyAnswer{}, errNoAnswer
		}
		return r.standby.HandleStandbyRequest(ctx, q), nil
	}
	self := Process{VM: vm, Start: "start-" + vm}
	return NewCoordinatorLease(s, store, "lead", self, func() time.Duration { return r.now }, func() int { return 0 }, ask), store
}

func newLeaseRig() *leaseRig { return &leaseRig{store: &oneRowStore{}, now: time.Minute} }

// coordinating returns a coordinator whose row names a standby.
func (r *leaseRig) coordinatorWithStandby(t *testing.T) (a, standby *CoordinatorLease, aStore, standbyStore *vmStore) {
	t.Helper()
	a, aStore = r.newLeaseWithStore("a")
	standby, standbyStore = r.newLeaseWithStore("s")
	r.standby = standby
	a.poll(t.Context())
	a.askStandbyOnce(t.Context())
	a.renew(t.Context())
	standby.poll(t.Context())
	if !a.Held() || readClaim(r.store.row).Standby != standby.self.Process {
		t.Fatalf("held %v, row %s; want a standby in it", a.Held(), r.store.row.Value)
	}
	return a, standby, aStore, standbyStore
}

// strained returns a coordinator that gives long leases, with its standby's consent:
// neither reaches the store.
func (r *leaseRig) degradedCoordinator(t *testing.T) (a, standby *CoordinatorLease, aStore, standbyStore *vmStore) {
	t.Helper()
	a, standby, aStore, standbyStore = r.coordinatorWithStandby(t)
	aStore.disconnected, standbyStore.disconnected = true, true
	a.renew(t.Context())
	a.askStandbyOnce(t.Context())
	if !a.LongLeasesAllowed() {
		t.Fatal("no long leases although nobody reaches the store")
	}
	return a, standby, aStore, standbyStore
}

// takesOver lets a coordinator's lease lapse and another VM take its place.
func (r *leaseRig) takeOver(t *testing.T, next *CoordinatorLease) {
	t.Helper()
	next.poll(t.Context())
	r.now += 1500 * time.Millisecond
	next.poll(t.Context())
	if !next.Held() {
		t.Fatal("the lapsed right was not taken")
	}
}

const testLongLease = 6 * time.Second

// Long leases are given only while the standby does not reach the store either.
func TestLongLeasesRequireStandbyConsent(t *testing.T) {
	for name, c := range map[string]struct{ standbyDisconnected, want bool }{
		"the store is away":           {true, true},
		"only the coordinator is cut": {false, false},
	} {
		r := newLeaseRig()
		a, _, aStore, standbyStore := r.coordinatorWithStandby(t)
		aStore.disconnected, standbyStore.disconnected = true, c.standbyDisconnected
		a.renew(t.Context())
		a.askStandbyOnce(t.Context())
		if got := a.LongLeasesAllowed(); got != c.want {
			t.Errorf("%s: long leases %v", name, got)
		}
	}
}

// A standby that takes over knows whether long leases are out; others, and a standby
// that was started again, assume it.
func TestSuccessorDetectsOutstandingLongLeases(t *testing.T) {
	t.Run("none were given", func(t *testing.T) {
		r := newLeaseRig()
		_, standby, _, _ := r.coordinatorWithStandby(t)
		r.takeOver(t, standby)
		if standby.LongLeasesOutstanding() {
			t.Fatal("long leases are assumed")
		}
	})
	t.Run("it consented", func(t *testing.T) {
		r := newLeaseRig()
		_, standby, _, standbyStore := r.degradedCoordinator(t)
		standbyStore.disconnected = false
		r.takeOver(t, standby)
		if !standby.LongLeasesOutstanding() {
			t.Fatal("its own consent is forgotten")
		}
	})
	t.Run("another VM", func(t *testing.T) {
		r := newLeaseRig()
		r.coordinatorWithStandby(t)
		third := r.newLease("t")
		r.takeOver(t, third)
		if !third.LongLeasesOutstanding() {
			t.Fatal("a VM that can't know assumes no long leases")
		}
	})
	t.Run("started again", func(t *testing.T) {
		r := newLeaseRig()
		r.coordinatorWithStandby(t)
		again := r.newLease("s")
		again.self.Start = "another"
		r.takeOver(t, again)
		if !again.LongLeasesOutstanding() {
			t.Fatal("a start that can't know assumes no long leases")
		}
	})
	t.Run("long leases of an earlier strain", func(t *testing.T) {
		r := newLeaseRig()
		a, _, aStore, standbyStore := r.degradedCoordinator(t)
		aStore.disconnected, standbyStore.disconnected = false, false
		a.renew(t.Context())
		next, _ := r.newLeaseWithStore("n") // another standby, which was not asked then
		r.standby = next
		a.askStandbyOnce(t.Context())
		a.renew(t.Context())
		r.takeOver(t, next)
		if !next.LongLeasesOutstanding() {
			t.Fatal("the row does not tell of long leases")
		}
	})
}

// Consent of a VM that the row may not name does not count: another could take over.
func TestConsentOfUnnamedStandbyIsIgnored(t *testing.T) {
	r := newLeaseRig()
	a, _, aStore, standbyStore := r.coordinatorWithStandby(t)
	other, otherStore := r.newLeaseWithStore("o")
	r.standby = other
	a.askStandbyOnce(t.Context())
	aStore.disconnected, standbyStore.disconnected, otherStore.disconnected = true, true, true
	a.renew(t.Context()) // names the other VM, and may be carried out or not
	a.askStandbyOnce(t.Context())
	if a.LongLeasesAllowed() {
		t.Fatal("long leases by the consent of a VM that the row may not name")
	}
}

// A coordinator that was strained may have given long leases itself, so it must
// not hand its right over.
func TestNoResignationWhileLongLeasesOutstanding(t *testing.T) {
	r := newLeaseRig()
	if a, _, _, _ := newLeaseRig().coordinatorWithStandby(t); a.LongLeasesOutstanding() {
		t.Fatal("a right that was free began with long leases")
	}
	a, _, aStore, _ := r.degradedCoordinator(t)
	aStore.disconnected = false
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
func TestNoResignationWhileInheritedLongLeasesOutstanding(t *testing.T) {
	r := newLeaseRig()
	r.newLease("a").poll(t.Context())
	b := r.newLease("b")
	r.takeOver(t, b)
	if !b.LongLeasesOutstanding() {
		t.Fatal("a right that lapsed began without long leases")
	}
	if err := b.Resign(t.Context()); err != nil || !r.store.exists() {
		t.Fatalf("%v; the right was handed over while long leases may be out", err)
	}
	c := r.newLease("c")
	r.takeOver(t, c)
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
func TestStandbyPollsWhenLeaseExpires(t *testing.T) {
	r := newLeaseRig()
	_, next, _, _ := r.coordinatorWithStandby(t)
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
func TestSuspicionMakesOnlyLowRanksPollOften(t *testing.T) {
	r := newLeaseRig()
	r.coordinatorWithStandby(t)
	for rank, want := range map[int]bool{2: true, suspectPollers: false} {
		l := r.newLease("x")
		l.rank = func() int { return rank }
		l.poll(t.Context())
		l.SuspectCoordinator()
		if often := l.pollInterval() <= l.settings.RenewInterval; often != want {
			t.Errorf("rank %d looks again after %v", rank, l.pollInterval())
		}
	}
}

// A coordinator whose right is over for long stops pressing a store that refuses it.
func TestRenewalStopsAfterLeaseExpiry(t *testing.T) {
	r := newLeaseRig()
	a, _, aStore, _ := r.coordinatorWithStandby(t)
	aStore.disconnected = true
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
func TestStoreErrorTriggersConsentRequest(t *testing.T) {
	r := newLeaseRig()
	a, _, aStore, _ := r.coordinatorWithStandby(t)
	for len(a.standbySignal) > 0 {
		<-a.standbySignal
	}
	aStore.disconnected = true
	a.renew(t.Context())
	if len(a.standbySignal) != 1 {
		t.Fatal("the standby is not asked")
	}
}

// A VM whose right lapsed must not write under the right of the VM that took over,
// whose row it has read since.
func TestNoWriteConditionAfterLeaseExpiry(t *testing.T) {
	r := newLeaseRig()
	a, standby, aStore, _ := r.coordinatorWithStandby(t)
	aStore.disconnected = true
	r.takeOver(t, standby)
	r.now += 2 * time.Second
	standby.renew(t.Context())
	aStore.disconnected = false
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
func TestNewStandbyPollsAtOnce(t *testing.T) {
	r := newLeaseRig()
	s := r.newLease("s")
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
