package keyspace

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"kumquatcleat/internal/rows"
)

// oneRowStore is a store of one row that can stop answering.
type oneRowStore struct {
	mu           sync.Mutex // guards the fields below
	row          rows.Row
	unresponsive bool
	era          uint64
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
	s.row = rows.Row{Key: w.Key, Value: w.Value, Version: rows.VersionIn(s.era, rows.Number(s.row.Version)+1)}
	return s.row.Version, nil
}

func (s *oneRowStore) List(context.Context, string) (rows.Page, error) { return rows.Page{}, nil }

func (s *oneRowStore) Watch(context.Context, string, uint64, time.Duration) (rows.Page, error) {
	return rows.Page{}, nil
}

func (s *oneRowStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// restore replaces the row by one that it had before and gives versions out again.
func (s *oneRowStore) restore(row rows.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	if row.Version != 0 {
		row.Version = rows.VersionIn(s.era, rows.Number(row.Version))
	}
	s.row = row
}

func (s *oneRowStore) exists() bool { return s.row.Version != 0 }

// vmStore is the access of one VM to the store. It can be disconnected.
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

// leaseRig holds a store, a clock that tests advance, and the VM that answers standby
// requests.
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
	ask := func(ctx context.Context, request StandbyRequest) (StandbyAnswer, error) {
		if r.standby == nil {
			return StandbyAnswer{}, errNoAnswer
		}
		return r.standby.HandleStandbyRequest(ctx, request), nil
	}
	self := Process{VM: vm, Start: "start-" + vm}
	l := NewCoordinatorLease(s, store, "lead", self, func() time.Duration { return r.now }, func() int { return 0 }, ask)
	l.eraSeenAt = 1 // the VM has run for a while
	return l, store
}

func newLeaseRig() *leaseRig { return &leaseRig{store: &oneRowStore{}, now: time.Minute} }

// coordinatorWithStandby returns a coordinator whose row names a standby.
func (r *leaseRig) coordinatorWithStandby(t *testing.T) (a, standby *CoordinatorLease, aStore, standbyStore *vmStore) {
	t.Helper()
	a, aStore = r.newLeaseWithStore("a")
	standby, standbyStore = r.newLeaseWithStore("s")
	r.standby = standby
	a.poll(t.Context())
	a.askStandbyOnce(t.Context())
	a.renew(t.Context())
	standby.poll(t.Context())
	if !a.Held() || readClaim(r.store.row).Standby != standby.ownClaim.Process {
		t.Fatalf("held %v, row %s; want held with a standby in the row", a.Held(), r.store.row.Value)
	}
	return a, standby, aStore, standbyStore
}

// degradedCoordinator returns a coordinator that may grant long leases with its
// standby's consent: neither of them reaches the store.
func (r *leaseRig) degradedCoordinator(t *testing.T) (a, standby *CoordinatorLease, aStore, standbyStore *vmStore) {
	t.Helper()
	a, standby, aStore, standbyStore = r.coordinatorWithStandby(t)
	aStore.disconnected, standbyStore.disconnected = true, true
	a.renew(t.Context())
	a.askStandbyOnce(t.Context())
	if !a.LongLeasesAllowed() {
		t.Fatal("long leases not allowed although neither VM reaches the store")
	}
	return a, standby, aStore, standbyStore
}

// takeOver lets the coordinator's lease expire and another VM acquire it.
func (r *leaseRig) takeOver(t *testing.T, next *CoordinatorLease) {
	t.Helper()
	next.poll(t.Context())
	r.now += 1500 * time.Millisecond
	next.poll(t.Context())
	if !next.Held() {
		t.Fatal("expired lease not acquired")
	}
}

const testLongLease = 6 * time.Second

// Guards against long leases while the standby can still reach the store, and could
// take over without waiting for them.
func TestLongLeasesRequireStandbyConsent(t *testing.T) {
	for name, c := range map[string]struct{ standbyDisconnected, want bool }{
		"store down":                    {true, true},
		"only coordinator disconnected": {false, false},
	} {
		r := newLeaseRig()
		a, _, aStore, standbyStore := r.coordinatorWithStandby(t)
		aStore.disconnected, standbyStore.disconnected = true, c.standbyDisconnected
		a.renew(t.Context())
		a.askStandbyOnce(t.Context())
		if got := a.LongLeasesAllowed(); got != c.want {
			t.Errorf("%s: unexpected value of LongLeasesAllowed: %v", name, got)
		}
	}
}

// Guards against a successor that ignores outstanding long leases. A standby that
// takes over knows whether there are any; another VM, or a standby that was
// restarted, has to assume them.
func TestSuccessorDetectsOutstandingLongLeases(t *testing.T) {
	t.Run("none were granted", func(t *testing.T) {
		r := newLeaseRig()
		_, standby, _, _ := r.coordinatorWithStandby(t)
		r.takeOver(t, standby)
		if standby.LongLeasesOutstanding() {
			t.Fatal("LongLeasesOutstanding: got true, want false")
		}
	})
	t.Run("the standby consented", func(t *testing.T) {
		r := newLeaseRig()
		_, standby, _, standbyStore := r.degradedCoordinator(t)
		standbyStore.disconnected = false
		r.takeOver(t, standby)
		if !standby.LongLeasesOutstanding() {
			t.Fatal("LongLeasesOutstanding: got false, want true after the standby consented")
		}
	})
	t.Run("another VM", func(t *testing.T) {
		r := newLeaseRig()
		r.coordinatorWithStandby(t)
		third := r.newLease("t")
		r.takeOver(t, third)
		if !third.LongLeasesOutstanding() {
			t.Fatal("LongLeasesOutstanding: got false, want true for a VM that was not the standby")
		}
	})
	t.Run("restarted standby", func(t *testing.T) {
		r := newLeaseRig()
		r.coordinatorWithStandby(t)
		restarted := r.newLease("s")
		restarted.ownClaim.Start = "another"
		r.takeOver(t, restarted)
		if !restarted.LongLeasesOutstanding() {
			t.Fatal("LongLeasesOutstanding: got false, want true for a restarted standby")
		}
	})
	t.Run("store degraded earlier", func(t *testing.T) {
		r := newLeaseRig()
		a, _, aStore, standbyStore := r.degradedCoordinator(t)
		aStore.disconnected, standbyStore.disconnected = false, false
		a.renew(t.Context())
		next, _ := r.newLeaseWithStore("n") // a new standby, which was not asked for consent before
		r.standby = next
		a.askStandbyOnce(t.Context())
		a.renew(t.Context())
		r.takeOver(t, next)
		if !next.LongLeasesOutstanding() {
			t.Fatal("LongLeasesOutstanding: got false, want true as named in the row")
		}
	})
}

// Guards against long leases with the consent of a VM that the row may not name: the
// standby that the row does name could take over without knowing of them.
func TestConsentOfUnnamedStandbyIsIgnored(t *testing.T) {
	r := newLeaseRig()
	a, _, aStore, standbyStore := r.coordinatorWithStandby(t)
	other, otherStore := r.newLeaseWithStore("o")
	r.standby = other
	a.askStandbyOnce(t.Context())
	aStore.disconnected, standbyStore.disconnected, otherStore.disconnected = true, true, true
	a.renew(t.Context()) // names the other VM; the write may or may not be applied
	a.askStandbyOnce(t.Context())
	if a.LongLeasesAllowed() {
		t.Fatal("LongLeasesAllowed: got true, want false with the consent of a VM that the row may not name")
	}
}

// Guards against a handover of the coordinator lease while long leases granted by
// this coordinator may be outstanding.
func TestNoResignationWhileLongLeasesOutstanding(t *testing.T) {
	r := newLeaseRig()
	if a, _, _, _ := newLeaseRig().coordinatorWithStandby(t); a.LongLeasesOutstanding() {
		t.Fatal("LongLeasesOutstanding: got true, want false for a new lease")
	}
	a, _, aStore, _ := r.degradedCoordinator(t)
	aStore.disconnected = false
	r.now += 2 * time.Second // the coordinator lease expires
	a.renew(t.Context())
	if !a.Held() || !a.LongLeasesOutstanding() {
		t.Fatalf("held %v, long leases outstanding %v after the store was degraded; want both true", a.Held(), a.LongLeasesOutstanding())
	}
	if err := a.Resign(t.Context()); err != nil || !r.store.exists() {
		t.Fatalf("error %v; want the row kept while long leases may be outstanding", err)
	}
}

// Guards against a handover while long leases of a predecessor may be outstanding. A
// coordinator that took over from an unresponsive one must assume them until the last
// one has expired.
func TestNoResignationWhileInheritedLongLeasesOutstanding(t *testing.T) {
	r := newLeaseRig()
	r.newLease("a").poll(t.Context())
	b := r.newLease("b")
	r.takeOver(t, b)
	if !b.LongLeasesOutstanding() {
		t.Fatal("LongLeasesOutstanding: got false, want true after taking over an expired lease")
	}
	if err := b.Resign(t.Context()); err != nil || !r.store.exists() {
		t.Fatalf("error %v; want the row kept while long leases may be outstanding", err)
	}
	c := r.newLease("c")
	r.takeOver(t, c)
	for range 30 {
		r.now += 300 * time.Millisecond
		c.renew(t.Context())
	}
	if err := c.Resign(t.Context()); err != nil || r.store.exists() {
		t.Fatalf("error %v; want the row deleted once all long leases have expired", err)
	}
}

// Guards against a late takeover: the standby polls again right when the known lease
// expires. It also must not poll in a tight loop while the store does not answer.
func TestStandbyPollsWhenLeaseExpires(t *testing.T) {
	r := newLeaseRig()
	_, next, _, _ := r.coordinatorWithStandby(t)
	r.now += 900 * time.Millisecond
	if got := next.pollInterval(); got < 100*time.Millisecond || got > 150*time.Millisecond {
		t.Errorf("poll interval is %v, want about 125 ms, when the lease expires", got)
	}
	r.now += 2 * time.Second
	if got := next.pollInterval(); got != minPollInterval {
		t.Errorf("poll interval after lease expiry is %v, want minPollInterval", got)
	}
	next.HandleStandbyRequest(t.Context(), StandbyRequest{}) // another request, from a slow coordinator
	if err := next.Resign(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := next.pollInterval(); got < 10*time.Second {
		t.Errorf("poll interval after resignation is %v, want at least 10 s", got)
	}
}

// Guards against a takeover that is seconds late: VMs of low rank whose reports the
// coordinator does not accept poll often. VMs of higher rank keep their long poll
// interval.
func TestSuspicionMakesOnlyLowRanksPollOften(t *testing.T) {
	r := newLeaseRig()
	r.coordinatorWithStandby(t)
	for rank, want := range map[int]bool{2: true, suspectPollers: false} {
		l := r.newLease("x")
		l.rank = func() int { return rank }
		l.poll(t.Context())
		l.SuspectCoordinator()
		if often := l.pollInterval() <= l.settings.RenewInterval; often != want {
			t.Errorf("rank %d: unexpected poll interval %v", rank, l.pollInterval())
		}
	}
}

// Guards against a lease that nobody takes for minutes, because all VMs of low rank are
// gone for good: VMs of higher ranks poll often once the coordinator has not answered for longer.
// Single failures with pauses between them are no such case.
func TestSuspicionThatLastsReachesHigherRanks(t *testing.T) {
	const interval = 400 * time.Millisecond // of reports
	for rank, want := range map[int]time.Duration{
		suspectPollers: suspectPollDuration, 3*suspectPollers - 1: 2 * suspectPollDuration, 3 * suspectPollers: 3 * suspectPollDuration,
	} {
		r := newLeaseRig()
		r.coordinatorWithStandby(t)
		l := r.newLease("x")
		l.rank = func() int { return rank }
		l.poll(t.Context())
		since := r.now
		for l.pollInterval() > l.settings.RenewInterval && r.now-since < time.Minute {
			r.now += interval
			l.SuspectCoordinator()
		}
		if took := r.now - since; took < want || took > want+2*interval {
			t.Errorf("rank %d: polls often after %v, want about %v", rank, took, want)
		}
		l = r.newLease("y")
		l.rank = func() int { return rank }
		l.poll(t.Context())
		for range 20 {
			r.now += suspectPollDuration
			l.SuspectCoordinator()
		}
		if got := l.pollInterval(); got <= l.settings.RenewInterval {
			t.Errorf("rank %d: polls every %v after failures with pauses between them", rank, got)
		}
	}
}

// Guards against a coordinator that keeps sending renewals to a failing store long
// after its lease expired.
func TestRenewalStopsAfterLeaseExpiry(t *testing.T) {
	r := newLeaseRig()
	a, _, aStore, _ := r.coordinatorWithStandby(t)
	aStore.disconnected = true
	r.now += 900 * time.Millisecond
	if !a.shouldRenew() {
		t.Fatal("stopped renewing before lease expiry")
	}
	r.now += 2 * time.Second
	if a.shouldRenew() {
		t.Fatal("still renewing long after lease expiry")
	}
}

// Guards against a late consent request: the standby is asked at once also when the
// store returns an error instead of not answering.
func TestStoreErrorTriggersConsentRequest(t *testing.T) {
	r := newLeaseRig()
	a, _, aStore, _ := r.coordinatorWithStandby(t)
	for len(a.standbySignal) > 0 {
		<-a.standbySignal
	}
	aStore.disconnected = true
	a.renew(t.Context())
	if len(a.standbySignal) != 1 {
		t.Fatal("no signal to ask the standby for consent")
	}
}

// Guards against a write that uses the lease of another VM. The lease of this VM
// expired, and it has since read the row that its successor wrote.
func TestNoWriteConditionAfterLeaseExpiry(t *testing.T) {
	r := newLeaseRig()
	a, standby, aStore, _ := r.coordinatorWithStandby(t)
	aStore.disconnected = true
	r.takeOver(t, standby)
	r.now += 2 * time.Second
	standby.renew(t.Context())
	aStore.disconnected = false
	if a.shouldRenew() {
		t.Fatal("shouldRenew: got true, want false after lease expiry")
	}
	a.poll(t.Context())
	if condition, held := a.WriteCondition(); held {
		t.Fatalf("got a write condition on version %d, written by %s; want none", condition.Expect, standby.ownClaim.VM)
	}
}

// Guards against a new standby that misses the loss of its coordinator: a VM of high
// rank otherwise polls only at long intervals.
func TestNewStandbyPollsAtOnce(t *testing.T) {
	r := newLeaseRig()
	s := r.newLease("s")
	s.rank = func() int { return suspectPollers }
	s.HandleStandbyRequest(t.Context(), StandbyRequest{})
	if len(s.pollSignal) != 1 {
		t.Fatal("new standby not woken to poll")
	}
	<-s.pollSignal
	s.HandleStandbyRequest(t.Context(), StandbyRequest{})
	if len(s.pollSignal) != 0 {
		t.Fatal("standby woken again by a repeated request")
	}
}

// Guards against two VMs that coordinate at once after the store came back from a copy: the
// claim of the VM that holds the lease is lost, and the copy names another VM, an earlier
// process of the one that asks, or none.
func TestRestoredRowDoesNotFreeHeldLease(t *testing.T) {
	for name, copied := range map[string]func(r *leaseRig) rows.Row{
		"no row":      func(*leaseRig) rows.Row { return rows.Row{} },
		"other claim": func(r *leaseRig) rows.Row { r.newLease("c").poll(t.Context()); return r.store.row },
		"earlier process of the VM": func(r *leaseRig) rows.Row {
			earlier := r.newLease("b")
			earlier.ownClaim.Start = "earlier"
			earlier.poll(t.Context())
			return r.store.row
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newLeaseRig()
			old := copied(r)
			r.store.row = rows.Row{Key: coordinatorKey}
			holder, other := r.newLease("a"), r.newLease("b")
			fresh := r.newLease("b")
			fresh.eraSeenAt = 0
			holder.poll(t.Context())
			other.poll(t.Context())
			if !holder.Held() {
				t.Fatal("the lease is free, but the VM does not hold it")
			}
			r.store.restore(old)
			for range 40 {
				for _, l := range []*CoordinatorLease{other, fresh} {
					if l.poll(t.Context()); l.Held() && holder.Held() {
						t.Fatal("two VMs hold the lease")
					}
				}
				r.now += 100 * time.Millisecond
			}
			if !other.Held() && !fresh.Held() {
				t.Error("no VM has taken over 4s after the restore")
			}
			if !other.LongLeasesOutstanding() && !fresh.LongLeasesOutstanding() {
				t.Error("long leases of a VM whose claim is lost are not expected")
			}
		})
	}
}

// A VM whose lease has not expired renews it on the copy of its own claim. Once it expired,
// another VM may have coordinated since, so that it has to wait like any other.
func TestHolderRenewsRestoredClaimOnlyBeforeExpiry(t *testing.T) {
	for passed, held := range map[time.Duration]bool{300 * time.Millisecond: true, 1200 * time.Millisecond: false} {
		r := newLeaseRig()
		holder := r.newLease("a")
		holder.poll(t.Context())
		old := r.store.row
		holder.renew(t.Context())
		r.now += passed
		r.store.restore(old)
		for range 2 { // the first one finds the copy
			if holder.shouldRenew() {
				holder.renew(t.Context())
			}
		}
		if holder.Held() != held {
			t.Errorf("%v after its last renewal: held is %v, want %v", passed, holder.Held(), held)
		}
	}
}

// Guards against a coordinator that reaches the store but no server: it can't assign a key, so
// another VM has to coordinate until it reaches servers again.
func TestIneligibleVMGivesUpLeaseAndTakesNone(t *testing.T) {
	r := newLeaseRig()
	a, b := r.newLease("a"), r.newLease("b")
	a.poll(t.Context())
	a.releaseIfIneligible(t.Context())
	if !a.Held() {
		t.Fatal("free lease not acquired")
	}
	a.SetEligible(false)
	a.releaseIfIneligible(t.Context())
	if r.store.exists() {
		t.Fatal("an ineligible VM keeps the coordinator row")
	}
	if a.Held() {
		t.Fatal("an ineligible VM holds the lease")
	}
	a.poll(t.Context())
	if a.Held() || r.store.exists() {
		t.Fatal("an ineligible VM acquired the free lease")
	}
	b.poll(t.Context())
	if !b.Held() {
		t.Fatal("another VM did not acquire the free lease at once")
	}
	a.SetEligible(true)
	r.takeOver(t, a)
}
