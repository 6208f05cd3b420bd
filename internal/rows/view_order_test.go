package rows

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
)

// modelStore is a store in memory that may be restored from an older copy.
type modelStore struct {
	era, number uint64
	rows        map[string]Row
	changes     []Row // of this era, ascending by version
	copies      []modelCopy
}

type modelCopy struct {
	number uint64
	rows   map[string]Row
}

func (s *modelStore) write(key string, deleted bool) {
	if _, ok := s.rows[key]; deleted && !ok {
		return
	}
	s.copies = append(s.copies, modelCopy{s.number, maps.Clone(s.rows)})
	s.number++
	r := Row{Key: key, Version: VersionIn(s.era, s.number), Deleted: deleted}
	if deleted {
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.changes = append(s.changes, r)
}

func (s *modelStore) restore(c modelCopy) {
	s.era++
	s.number, s.rows, s.changes, s.copies = c.number, map[string]Row{}, nil, nil
	for key, r := range c.rows {
		r.Version = VersionIn(s.era, Number(r.Version))
		s.rows[key] = r
	}
}

// watch returns the changes after a version, or false if that is of another era.
func (s *modelStore) watch(after uint64) (Page, bool) {
	page := Page{Version: VersionIn(s.era, s.number)}
	for _, r := range s.changes {
		if r.Version > after {
			page.Rows = append(page.Rows, r)
		}
	}
	// A copy has no history.
	return page, Era(after) == s.era && (len(s.changes) == 0 || Number(after)+1 >= Number(s.changes[0].Version))
}

// list appends the rows with keys from from to to, exclusive, to a list that began earlier.
func (s *modelStore) list(page *Page, from, to string) {
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if key >= from && key < to {
			page.Rows = append(page.Rows, s.rows[key])
		}
	}
}

// troubles are what a store does beside what it usually does.
type troubles struct {
	lists    bool // views that were read before list the table again
	parts    bool // lists come in two parts, between which the store may change
	compacts bool // pages lack changes that later ones replace
	restores bool // the store is restored from older copies
}

// orderTest is a store with views that read it and follow each other.
type orderTest struct {
	troubles
	t       *testing.T
	random  *rand.Rand
	store   *modelStore
	views   []*View
	pending []func() // answers that are under way
}

func newOrderTest(t *testing.T, seed uint64, tr troubles) *orderTest {
	o := &orderTest{troubles: tr, t: t, random: rand.New(rand.NewPCG(seed, 0)), store: &modelStore{rows: map[string]Row{}}}
	for i := range 3 {
		v := NewView("t", 1+o.random.IntN(12), func() {})
		last := map[string]uint64{}
		v.OnApply(func(changed []Row) {
			for _, r := range changed {
				// A list in parts shows deletions after its version.
				if !o.parts && (r.Version < last[r.Key] || r.Version == last[r.Key] && !r.Deleted) {
					t.Errorf("view %d: row %s reported at version %d (deleted %v) after version %d", i, r.Key, r.Version, r.Deleted, last[r.Key])
				}
				last[r.Key] = r.Version
			}
		})
		o.views = append(o.views, v)
	}
	return o
}

// read asks the store as a Follower does.
func (o *orderTest) read(v *View) {
	page, ok := o.store.watch(v.Version())
	if o.compacts {
		page.Rows = slices.DeleteFunc(slices.Clone(page.Rows), func(r Row) bool {
			return slices.ContainsFunc(page.Rows, func(other Row) bool { return other.Key == r.Key && other.Version > r.Version })
		})
	}
	if v.Synced() && ok && (!o.lists || o.random.IntN(8) > 0) {
		o.pending = append(o.pending, func() { v.Apply(page) })
		return
	}
	list, era := Page{Version: VersionIn(o.store.era, o.store.number)}, o.store.era
	if !o.parts {
		o.store.list(&list, "", "z")
		o.pending = append(o.pending, func() { v.Replace(list) })
		return
	}
	o.store.list(&list, "", "c")
	o.pending = append(o.pending, func() {
		if o.store.era != era {
			return
		}
		o.store.list(&list, "c", "z")
		o.pending = append(o.pending, func() { v.Replace(list) })
	})
}

// follow asks another view as a VM does.
func (o *orderTest) follow(v, source *View) {
	page, whole := source.Since(v.Version(), time.Duration(o.random.IntN(2))*2*time.Second)
	switch {
	case whole:
		o.pending = append(o.pending, func() { v.Replace(page) })
	case len(page.Rows) > 0:
		o.pending = append(o.pending, func() { v.Apply(page) })
	}
}

func (o *orderTest) deliver() {
	if len(o.pending) == 0 {
		return
	}
	i := o.random.IntN(len(o.pending))
	answer := o.pending[i]
	o.pending = slices.Delete(o.pending, i, i+1)
	answer()
}

func (o *orderTest) step() {
	v := o.views[o.random.IntN(len(o.views))]
	key := string(rune('a' + o.random.IntN(5)))
	switch n := o.random.IntN(100); {
	case n < 20:
		o.store.write(key, false)
	case n < 30:
		o.store.write(key, true)
	case n < 31 && o.restores && len(o.store.copies) > 0:
		recent := o.store.copies[max(0, len(o.store.copies)-8):]
		o.store.restore(recent[o.random.IntN(len(recent))])
	case n < 45:
		o.read(v)
	case n < 65:
		o.follow(v, o.views[o.random.IntN(len(o.views))])
	case n < 70:
		time.Sleep(time.Second)
	default:
		o.deliver()
	}
}

// finish lets a view read the changes that it lacks, as long as it need not list the table.
func (o *orderTest) finish(v *View) {
	page, ok := o.store.watch(v.Version())
	if v.Synced() && ok {
		v.Apply(page)
		return
	}
	list := Page{Version: VersionIn(o.store.era, o.store.number)}
	o.store.list(&list, "", "z")
	v.Replace(list)
}

// run does steps in random order, lets the views read what they lack and compares them with
// the store.
func (o *orderTest) run() {
	for range 300 {
		o.step()
	}
	for len(o.pending) > 0 {
		o.deliver()
	}
	want := versions(slices.Collect(maps.Values(o.store.rows)))
	for i, v := range o.views {
		o.finish(v)
		page, _ := v.Since(0, 0)
		if got := versions(page.Rows); !maps.Equal(got, want) {
			o.t.Errorf("view %d: got versions %v at %d, want %v", i, got, v.Version(), want)
		}
	}
}

func versions(list []Row) map[string]uint64 {
	byKey := map[string]uint64{}
	for _, r := range list {
		byKey[r.Key] = r.Version
	}
	return byKey
}

// Guards against rows that come back or are missed: whatever the order in which pages, lists
// and other views' changes arrive, a view ends with the rows of the store.
func TestViewEndsWithRowsOfStoreInAnyOrder(t *testing.T) {
	for name, tr := range map[string]troubles{
		"calm":     {},
		"compacts": {compacts: true},
		"lists":    {lists: true},
		"parts":    {lists: true, parts: true},
		"restores": {restores: true},
		"all":      {lists: true, parts: true, compacts: true, restores: true},
	} {
		for seed := range uint64(500) {
			t.Run(fmt.Sprintf("%s/seed_%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { newOrderTest(t, seed, tr).run() })
			})
		}
	}
}

// Guards against a page that was under way while the view went on: rows that were deleted
// meanwhile must not come back, and are to be back if a restored store has them again.
func TestLatePageDoesNotBringDeletedRowBack(t *testing.T) {
	late := Page{Version: 11, Rows: []Row{row("a", 11)}}
	deleted := Row{Key: "a", Version: 12, Deleted: true}
	for name, learn := range map[string]func(v *View){
		"page":          func(v *View) { v.Apply(Page{Version: 12, Rows: []Row{deleted}}) },
		"page, further": func(v *View) { v.Apply(Page{Version: 20, Rows: []Row{deleted, row("b", 20)}}) },
		"list":          func(v *View) { v.Replace(Page{Version: 12}) },
		"new era":       func(v *View) { v.Replace(Page{Version: VersionIn(1, 5)}) },
	} {
		t.Run(name, func(t *testing.T) {
			_, v := newTestView(10)
			v.Replace(Page{Version: 10, Rows: []Row{row("a", 9)}})
			learn(v)
			v.Apply(late)
			if got := v.Row("a"); got.Version != 0 {
				t.Errorf("got row at version %d after its deletion, want none", got.Version)
			}
			page, _ := v.Since(10, 0)
			for i, r := range page.Rows {
				if i > 0 && r.Version < page.Rows[i-1].Version {
					t.Errorf("got changes %+v for other VMs, want them ascending by version", page.Rows)
				}
			}
			v.Replace(Page{Version: VersionIn(2, 11), Rows: []Row{row("a", VersionIn(2, 9))}})
			if v.Row("a").Version != VersionIn(2, 9) {
				t.Error("got no row, want the one that the restored store has again")
			}
		})
	}
}

// heldSource answers a watch when the test lets it.
type heldSource struct{ asked, answer chan Page }

func (s heldSource) List(context.Context, string) (Page, error) { return <-s.answer, nil }

func (s heldSource) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) (Page, error) {
	s.asked <- Page{Version: after}
	select {
	case page := <-s.answer:
		return page, nil
	case <-ctx.Done():
		return Page{}, ctx.Err()
	}
}

// Guards against an answer of the store that is held up while another VM tells that a row
// was deleted.
func TestFollowerIgnoresHeldUpAnswerAboutRowThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set, v := newTestView(10)
		v.Replace(Page{Version: 10, Rows: []Row{row("a", 9)}})
		source := heldSource{make(chan Page), make(chan Page)}
		duration := func(string) time.Duration { return time.Second }
		settings := FollowerSettings{
			Wait: duration, Pause: duration, Retry: func(string, int) time.Duration { return time.Second },
			RecheckInterval: time.Second, Confirmed: func(string) {},
		}
		f := NewFollower(settings, source, set, func(string) bool { return true }, metrics.NewRegistry())
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx, v)
		<-source.asked
		set.Apply([]Update{{Table: "t", Page: Page{Version: 12, Rows: []Row{{Key: "a", Version: 12, Deleted: true}}}}})
		source.answer <- Page{Version: 11, Rows: []Row{row("a", 11)}}
		if after := (<-source.asked).Version; after != 12 {
			t.Errorf("got a watch after version %d, want 12", after)
		}
		if got := v.Row("a"); got.Version != 0 {
			t.Errorf("got row at version %d after its deletion, want none", got.Version)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against views that follow another one and miss what that one did not see, or saw
// out of order: both have to end with the same rows.
func TestFollowingViewMissesNoChange(t *testing.T) {
	deleted := func(key string, version uint64) Row { return Row{Key: key, Version: version, Deleted: true} }
	for name, test := range map[string]struct {
		source   func(v *View)
		follower func(v *View)
		late     bool // the follower gets on while the source's answer is on its way
		unread   bool // the source has not read the table before
	}{
		"page without the row that it deletes": {
			source:   func(v *View) { v.Apply(Page{Version: 20, Rows: []Row{deleted("b", 15)}}) },
			follower: func(v *View) { v.Apply(Page{Version: 12, Rows: []Row{row("b", 12)}}) },
		},
		"list after a row came and went": {
			source:   func(v *View) { v.Replace(Page{Version: 20, Rows: []Row{row("a", 9), row("c", 18)}}) },
			follower: func(v *View) { v.Apply(Page{Version: 12, Rows: []Row{row("b", 12)}}) },
		},
		"list, answered before the follower saw the row": {
			source:   func(v *View) { v.Replace(Page{Version: 20, Rows: []Row{row("a", 9), row("c", 18)}}) },
			follower: func(v *View) { v.Apply(Page{Version: 12, Rows: []Row{row("b", 12)}}) },
			late:     true,
		},
		"list that changes while it is read": {
			source: func(v *View) {
				v.Replace(Page{Version: 11, Rows: []Row{row("a", 9), row("b", 13)}})
				v.Apply(Page{Version: 13, Rows: []Row{row("c", 12), row("b", 13)}})
				v.Apply(Page{Version: 14, Rows: []Row{row("d", 14)}})
			},
			follower: func(v *View) { v.Apply(Page{Version: 12, Rows: []Row{row("c", 12)}}) },
			unread:   true,
		},
		"restored store": {
			source: func(v *View) {
				v.Replace(Page{Version: VersionIn(1, 9), Rows: []Row{row("a", VersionIn(1, 9))}, Unsettled: true})
			},
			follower: func(v *View) { v.Apply(Page{Version: 12, Rows: []Row{row("b", 12)}}) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			source, v := newTestView(100)
			follower, w := newTestView(100)
			first := Page{Version: 10, Rows: []Row{row("a", 9)}}
			if !test.unread {
				v.Replace(first)
			}
			w.Replace(first)
			if test.late {
				test.source(v)
				answer := source.Updates(t.Context(), follower.Versions(), 0, 0)
				test.follower(w)
				follower.Apply(answer)
			} else {
				test.follower(w)
				test.source(v)
			}
			follower.Apply(source.Updates(t.Context(), follower.Versions(), 0, 0))
			want, _ := v.Since(0, 0)
			got, _ := w.Since(0, 0)
			if !maps.Equal(versions(got.Rows), versions(want.Rows)) {
				t.Errorf("got versions %v at the follower, want %v", versions(got.Rows), versions(want.Rows))
			}
		})
	}
}

// Guards against a list that is passed on without word that the rows missing from it may
// reappear: a server is kept in use then.
func TestFollowingViewLearnsThatRowsMayReappear(t *testing.T) {
	for name, version := range map[string]uint64{"outage": 20, "restored store": VersionIn(1, 9)} {
		t.Run(name, func(t *testing.T) {
			source, v := newTestView(100)
			follower, w := newTestView(100)
			for _, view := range []*View{v, w} {
				view.Replace(Page{Version: 10, Rows: []Row{row("a", 9), row("b", 10)}})
			}
			var reported []Row
			w.OnApply(func(changed []Row) { reported = append(reported, changed...) })
			v.Replace(Page{Version: version, Rows: []Row{row("a", version)}, Unsettled: true})
			follower.Apply(source.Updates(t.Context(), follower.Versions(), 0, 0))
			i := slices.IndexFunc(reported, func(r Row) bool { return r.Key == "b" })
			if i < 0 || !reported[i].Deleted || !reported[i].Unsettled {
				t.Errorf("got reported rows %+v, want row b deleted and unsettled", reported)
			}
		})
	}
}
