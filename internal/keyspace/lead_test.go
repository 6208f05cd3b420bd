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

// leadRig is a store with a clock that tests move.
type leadRig struct {
	store *oneRow
	now   time.Duration
}

func (r *leadRig) lead(vm string) *Lead {
	s := LeadSettings{Lease: time.Second, Renew: 300 * time.Millisecond, Strain: time.Second, CallTimeout: time.Second, DriftPerMill: 25}
	return NewLead(s, r.store, "lead", vm, "start-"+vm, func() time.Duration { return r.now }, func() int { return 0 })
}

func newLeadRig() *leadRig { return &leadRig{store: &oneRow{}, now: time.Minute} }

const testLongHold = 6 * time.Second

// A coordinator that was strained may have given long leases itself, so it must
// not take its predecessor's handover for a promise that none are out.
func TestStrainEndsAHandover(t *testing.T) {
	r := newLeadRig()
	l := r.lead("a")
	l.look(t.Context())
	if !l.Held() || !l.HandedOver() {
		t.Fatalf("held %v, handed over %v; want a free right to be taken", l.Held(), l.HandedOver())
	}
	r.store.silent = true
	l.renew(t.Context())
	r.store.silent = false
	r.now += 2 * time.Second // the right lapses
	l.renew(t.Context())
	if !l.Held() || l.HandedOver() {
		t.Fatalf("held %v, handed over %v, after a strain", l.Held(), l.HandedOver())
	}
}

// A coordinator that took over from a silent one passes on that long leases may
// be out: it does not hand over while they last.
func TestInheritedLongLeasesAreNotHandedOver(t *testing.T) {
	r := newLeadRig()
	r.lead("a").look(t.Context())
	b := r.lead("b")
	b.look(t.Context())
	r.now += 1100 * time.Millisecond
	b.look(t.Context())
	if !b.Held() || b.HandedOver() {
		t.Fatalf("held %v, handed over %v; want a right that lapsed to be taken", b.Held(), b.HandedOver())
	}
	if err := b.Resign(t.Context(), testLongHold); err != nil || !r.store.exists() {
		t.Fatalf("%v; the right was handed over while long leases may be out", err)
	}
	c := r.lead("c")
	c.look(t.Context())
	r.now += 1100 * time.Millisecond
	c.look(t.Context())
	for range 30 {
		r.now += 300 * time.Millisecond
		c.renew(t.Context())
	}
	if err := c.Resign(t.Context(), testLongHold); err != nil || r.store.exists() {
		t.Fatalf("%v; a right that was held past all long leases is handed over", err)
	}
}

// A VM that stands in looks again right when the lease that it knows of is over,
// and does not press a store that does not answer.
func TestLooksComeWhenTheLeaseEnds(t *testing.T) {
	r := newLeadRig()
	holder, next := r.lead("a"), r.lead("b")
	holder.look(t.Context())
	next.look(t.Context())
	r.now += 900 * time.Millisecond
	if got := next.lookInterval(); got < 100*time.Millisecond || got > 150*time.Millisecond {
		t.Errorf("looks again after %v, the lease ends in 125 ms", got)
	}
	r.now += 2 * time.Second
	if got := next.lookInterval(); got != leastLook {
		t.Errorf("after the lease it looks again after %v", got)
	}
	if err := next.Resign(t.Context(), testLongHold); err != nil {
		t.Fatal(err)
	}
	if got := next.lookInterval(); got < 10*time.Second {
		t.Errorf("a VM that stops looks again after %v", got)
	}
}
