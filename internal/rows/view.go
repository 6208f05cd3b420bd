package rows

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// View is a local copy of one table. It includes all changes up to its version: a change up
// to there that arrives later, in whatever order, adds nothing. That makes up for the versions
// of deleted rows, which a view does not keep. Safe for concurrent use.
type View struct {
	table  string
	window int // maximum number of changes kept for peers

	mu      sync.Mutex // guards the fields below
	rows    map[string]Row
	version uint64   // rows includes the changes up to this version
	floor   uint64   // log holds the changes after this version
	log     []change // ascending by version
	synced  bool     // the table was read at least once
	// listedAt is when the last list arrived. unsettled is the version of the last one that lacks
	// rows that may reappear.
	listedAt  time.Time
	unsettled uint64
	onApply   []func(changed []Row)
	notify    func()
}

// change is a changed row with the time at which this VM received it.
type change struct {
	row Row
	at  time.Time
}

// NewView returns an empty view that keeps the last window changes for peers.
func NewView(table string, window int, notify func()) *View {
	return &View{table: table, window: window, rows: map[string]Row{}, notify: notify}
}

// Table returns the name of the table.
func (v *View) Table() string { return v.table }

// OnApply registers a function to call with each batch of changed rows, in order.
// Call it before the view is used.
func (v *View) OnApply(f func(changed []Row)) { v.onApply = append(v.onApply, f) }

// Synced reports whether the table has been read at least once.
func (v *View) Synced() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.synced
}

// Version returns the version up to which the view includes all changes, or 0 if the
// table has not been read yet.
func (v *View) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}

// Row returns a row; the version is 0 if the row does not exist.
func (v *View) Row(key string) Row {
	v.mu.Lock()
	defer v.mu.Unlock()
	if row, ok := v.rows[key]; ok {
		return row
	}
	return Row{Key: key}
}

// Apply merges changed rows into the view: all changes from a version that the view had up to
// the page's. The newest version of a row wins.
func (v *View) Apply(page Page) {
	v.mu.Lock()
	defer v.mu.Unlock()
	fresh := v.upTo(page, func(row Row) bool { return !v.synced || row.Version > v.version })
	if v.synced {
		v.appendLog(fresh) // also deletions of rows that are not known here: a peer may know them
	}
	v.merge(fresh, page.Version)
}

// Replace merges a list of the whole table into the view. Rows missing from the list are
// deleted. A list that is older than the view does not show which rows are deleted and
// is ignored.
func (v *View) Replace(page Page) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.synced && page.Version < v.version {
		return
	}
	fresh := v.upTo(page, func(row Row) bool { return row.Version > v.rows[row.Key].Version })
	listed := make(map[string]bool, len(page.Rows))
	for _, row := range page.Rows {
		listed[row.Key] = true
	}
	for key := range v.rows {
		if !listed[key] {
			fresh = append(fresh, Row{Key: key, Version: page.Version, Deleted: true, Unsettled: page.Unsettled})
		}
	}
	if page.Version > v.version {
		// A peer may have rows that came and went unseen here: it needs the list too.
		v.floor, v.log, v.listedAt = page.Version, nil, time.Now()
	}
	if page.Unsettled {
		v.unsettled = page.Version
	}
	v.merge(fresh, page.Version)
}

// upTo returns the rows of a page, in the order of versions, that meet a condition. It leaves
// out those that changed after the version of the page, as while a list was read: they follow.
func (v *View) upTo(page Page, meets func(Row) bool) []Row {
	fresh := make([]Row, 0, len(page.Rows))
	for _, row := range page.Rows {
		if row.Version <= page.Version && meets(row) {
			fresh = append(fresh, row)
		}
	}
	slices.SortStableFunc(fresh, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	return fresh
}

// merge stores changed rows, with which the view includes all changes up to a version.
func (v *View) merge(fresh []Row, version uint64) {
	var changed []Row
	for _, row := range fresh {
		_, known := v.rows[row.Key]
		switch {
		case !row.Deleted:
			v.rows[row.Key] = row
		case known:
			delete(v.rows, row.Key)
		default:
			continue
		}
		changed = append(changed, row)
	}
	first := !v.synced
	if first {
		v.floor = version
	}
	v.version, v.synced = max(v.version, version), true
	if len(changed) == 0 && !first {
		return
	}
	for _, f := range v.onApply {
		f(changed)
	}
	v.notify()
}

// appendLog keeps changes for peers that follow this view.
func (v *View) appendLog(changed []Row) {
	now := time.Now()
	for _, row := range changed {
		v.log = append(v.log, change{row, now})
	}
	if over := len(v.log) - v.window; over > 0 {
		v.floor = v.log[over-1].row.Version
		v.log = append([]change(nil), v.log[over:]...)
	}
}

// Since returns the changes after a version that this VM received at least minAge ago,
// or the whole table if these changes are not known or no longer kept.
func (v *View) Since(after uint64, minAge time.Duration) (page Page, whole bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.synced {
		return Page{}, false
	}
	newest := time.Now().Add(-minAge)
	if after < v.floor && after > 0 && v.listedAt.After(newest) {
		return Page{Version: after}, false // the peer requests the list again
	}
	if after < v.floor || after == 0 {
		page.Version, page.Unsettled = v.version, after < v.unsettled
		for _, row := range v.rows {
			page.Rows = append(page.Rows, row)
		}
		return page, true
	}
	page.Version = max(v.version, after)
	for _, c := range v.log {
		if c.row.Version <= after {
			continue
		}
		if c.at.After(newest) {
			page.Version = c.row.Version - 1 // the peer requests newer changes again
			break
		}
		page.Rows = append(page.Rows, c.row)
	}
	return page, false
}

// Set is a group of views with one channel that signals changes in any of them.
type Set struct {
	views   []*View
	mu      sync.Mutex    // guards changed
	changed chan struct{} // closed and replaced at each change
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{changed: make(chan struct{})} }

// Add creates a view of a table and adds it. Call it before the set is used.
func (s *Set) Add(table string, window int) *View {
	v := NewView(table, window, s.signal)
	s.views = append(s.views, v)
	return v
}

func (s *Set) signal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// Synced reports whether every table has been read at least once.
func (s *Set) Synced() bool {
	for _, v := range s.views {
		if !v.Synced() {
			return false
		}
	}
	return true
}

// Update holds the changes of one table that a peer lacks.
type Update struct {
	Table string `json:"table"`
	Whole bool   `json:"whole,omitempty"` // Page lists the whole table
	Page  Page   `json:"page"`
}

// Updates returns the changes that a peer with the given versions lacks. It waits up to
// maxWait until there are any. Only changes received at least minAge ago count.
func (s *Set) Updates(ctx context.Context, after map[string]uint64, maxWait, minAge time.Duration) []Update {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		var updates []Update
		for _, v := range s.views {
			page, whole := v.Since(after[v.table], minAge)
			if whole || len(page.Rows) > 0 {
				updates = append(updates, Update{Table: v.table, Whole: whole, Page: page})
			}
		}
		if len(updates) > 0 || maxWait <= 0 {
			return updates
		}
		select {
		case <-changed:
		case <-timer.C:
			maxWait = 0
		case <-ctx.Done():
			return nil
		}
	}
}

// Apply applies the updates from a peer.
func (s *Set) Apply(updates []Update) {
	for _, u := range updates {
		for _, v := range s.views {
			switch {
			case v.table != u.Table:
			case u.Whole:
				v.Replace(u.Page)
			default:
				v.Apply(u.Page)
			}
		}
	}
}

// Versions returns, for each table, the version up to which its view includes all changes.
func (s *Set) Versions() map[string]uint64 {
	versions := make(map[string]uint64, len(s.views))
	for _, v := range s.views {
		versions[v.table] = v.Version()
	}
	return versions
}
