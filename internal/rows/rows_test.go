package rows

import (
	"context"
	"slices"
	"testing"
	"time"
)

func keys(p Page) []string {
	var list []string
	for _, r := range p.Rows {
		list = append(list, r.Key)
	}
	slices.Sort(list)
	return list
}

func newTestView(window int) (*Set, *View) {
	set := NewSet()
	return set, set.Add("t", window)
}

func row(key string, version uint64) Row { return Row{Key: key, Version: version, Value: []byte(key)} }

// A stale list or a late response must not revert a row to an older version.
func TestViewNeverRevertsToOlderVersion(t *testing.T) {
	_, v := newTestView(10)
	v.Replace(Page{Version: 10, Rows: []Row{row("a", 10), row("b", 5)}})
	v.Apply(Page{Version: 8, Rows: []Row{{Key: "a", Version: 8, Value: []byte("old")}}})
	v.Replace(Page{Version: 9, Rows: []Row{row("b", 5)}})
	v.Apply(Page{Version: 9, Rows: []Row{{Key: "a", Version: 9, Deleted: true}}})
	if got := v.Row("a"); string(got.Value) != "a" || v.Version() != 10 {
		t.Fatalf("got row %+v at version %d, want value a at version 10", got, v.Version())
	}
	v.Apply(Page{Version: 11, Rows: []Row{{Key: "a", Version: 11, Deleted: true}}})
	if v.Row("a").Version != 0 {
		t.Fatal("got a row after its newer deletion, want none")
	}
}

// OnApply has to report rows that are missing from a new list as deleted.
func TestListReportsMissingRowsAsDeleted(t *testing.T) {
	_, v := newTestView(10)
	var reported []Row
	v.OnApply(func(changed []Row) { reported = append(reported, changed...) })
	v.Replace(Page{Version: 10, Rows: []Row{row("a", 1), row("b", 5)}})
	v.Replace(Page{Version: 20, Rows: []Row{row("b", 5)}, Unsettled: true})
	last := reported[len(reported)-1]
	if last.Key != "a" || !last.Deleted || !last.Unsettled {
		t.Fatalf("got reported rows %+v, want row a last, deleted and unsettled", reported)
	}
}

// Since returns the changes after a version, or the whole table if these are not kept.
func TestSinceReturnsChangesOrWholeTable(t *testing.T) {
	_, v := newTestView(2)
	v.Replace(Page{Version: 10, Rows: []Row{row("a", 1)}})
	for i := uint64(11); i <= 14; i++ {
		v.Apply(Page{Version: i, Rows: []Row{row(string(rune('a'+i)), i)}})
	}
	if page, whole := v.Since(12, 0); whole || len(page.Rows) != 2 || page.Version != 14 {
		t.Fatalf("after version 12: got page %v, whole %v, want two changes up to version 14", page, whole)
	}
	if page, whole := v.Since(10, 0); !whole || len(page.Rows) != 5 {
		t.Fatalf("after version 10, which is not kept: got rows %v, whole %v, want all five rows", keys(page), whole)
	}
	if page, _ := v.Since(12, time.Hour); len(page.Rows) != 0 || page.Version != 12 {
		t.Fatalf("after version 12 with a minimum age of 1 h: got %+v, want no rows at version 12", page)
	}
}

// A view that follows another has to end with the same rows, even if it missed changes
// that are no longer kept.
func TestFollowingViewConverges(t *testing.T) {
	source, v := newTestView(3)
	v.Replace(Page{Version: 1, Rows: []Row{row("a", 1)}})
	follower, w := newTestView(3)
	for i := uint64(2); i < 40; i++ {
		r := row(string(rune('a'+i%7)), i)
		r.Deleted = i%5 == 0
		v.Apply(Page{Version: i, Rows: []Row{r}})
		if i%6 == 0 || i == 39 {
			follower.Apply(source.Updates(context.Background(), follower.Versions(), 0, 0))
		}
	}
	a, _ := v.Since(0, 0)
	b, _ := w.Since(0, 0)
	if !slices.Equal(keys(a), keys(b)) {
		t.Fatalf("got rows %v at the source and %v at the follower, want the same", keys(a), keys(b))
	}
}

// Updates has to return as soon as a change arrives, not at the end of its wait.
func TestUpdatesReturnsOnChange(t *testing.T) {
	set, v := newTestView(10)
	v.Replace(Page{Version: 1})
	time.AfterFunc(30*time.Millisecond, func() { v.Apply(Page{Version: 2, Rows: []Row{row("a", 2)}}) })
	began := time.Now()
	updates := set.Updates(context.Background(), map[string]uint64{"t": 1}, 2*time.Second, 0)
	if len(updates) != 1 || time.Since(began) > time.Second {
		t.Fatalf("got %d updates after %v, want 1 within 1 s", len(updates), time.Since(began))
	}
}

// A restored store's list has lower version numbers than a view, and takes effect: on the
// view and on another one that follows it, also if that waits for changes to age.
func TestListOfNewEraReplacesNewerNumbers(t *testing.T) {
	source, v := newTestView(100)
	v.Replace(Page{Version: VersionIn(0, 50), Rows: []Row{row("a", VersionIn(0, 40)), row("lost", VersionIn(0, 45))}})
	follower, w := newTestView(100)
	follower.Apply(source.Updates(context.Background(), follower.Versions(), 0, 0))
	v.Replace(Page{Version: VersionIn(1, 30), Rows: []Row{row("z", VersionIn(1, 29)), row("a", VersionIn(1, 20)), row("b", VersionIn(1, 10))}, Unsettled: true})
	for range 3 {
		follower.Apply(source.Updates(context.Background(), follower.Versions(), 0, 0))
	}
	for name, view := range map[string]*View{"source": v, "follower": w} {
		page, _ := view.Since(0, 0)
		if got := keys(page); !slices.Equal(got, []string{"a", "b", "z"}) || view.Version() != VersionIn(1, 30) {
			t.Errorf("%s: got rows %v at version %d, want a, b and z at %d", name, got, view.Version(), VersionIn(1, 30))
		}
	}
}

// Changes that are too young are sent later, all of them: a list is not ordered by version.
func TestYoungChangesOfListAreSentLater(t *testing.T) {
	_, v := newTestView(100)
	v.Replace(Page{Version: 1})
	v.Replace(Page{Version: 30, Rows: []Row{row("a", 20), row("b", 10), row("c", 30)}})
	page, _ := v.Since(1, time.Hour)
	if page, _ = v.Since(page.Version, 0); len(page.Rows) != 3 {
		t.Errorf("got rows %v, want a, b and c", keys(page))
	}
}
