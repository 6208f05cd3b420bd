package rows

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/wait"
)

// FollowerSettings are the timeouts and intervals of a Follower.
type FollowerSettings struct {
	// Wait returns how long the next watch call of a table may wait for a change. A call
	// that the store never answers, as after an outage, is abandoned soon after that.
	Wait func(table string) time.Duration
	// Pause returns the time between two calls for a table, which batches a series of
	// changes into fewer calls.
	Pause func(table string) time.Duration
	// Retry returns the pause after a number of failed calls in a row for a table.
	Retry func(table string, failures int) time.Duration
	// RecheckInterval is how often a follower that must not read a table checks whether
	// it may now.
	RecheckInterval time.Duration
	// SettleTime is how long after the end of a store outage rows may be missing.
	SettleTime time.Duration
	// Confirmed is called when a table has been read: its view includes all changes.
	Confirmed func(table string)
}

// Follower applies the changes of a store to a set of views, for the tables that this
// VM reads from the store.
type Follower struct {
	settings FollowerSettings
	store    Source
	set      *Set
	mayRead  func(table string) bool
	failures metrics.Counter

	mu          sync.Mutex           // guards the fields below
	failed      map[string]time.Time // tables that can't be read, with the time of the first failure
	recoveredAt time.Time            // when a table was last read again after a failure
}

// NewFollower returns a follower. mayRead reports whether this VM reads a table from
// the store.
func NewFollower(s FollowerSettings, store Source, set *Set, mayRead func(table string) bool, registry metrics.Registry) *Follower {
	return &Follower{
		settings: s, store: store, set: set, mayRead: mayRead, failed: map[string]time.Time{},
		failures: metrics.GetOrRegisterCounter("store_watch_failures", registry),
	}
}

// unsettled reports whether rows may be missing from the store: a table can't be read,
// or became readable again less than SettleTime ago.
func (f *Follower) unsettled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.failed) > 0 || (!f.recoveredAt.IsZero() && time.Since(f.recoveredAt) < f.settings.SettleTime)
}

// Run follows one table until ctx ends.
func (f *Follower) Run(ctx context.Context, view *View) {
	failures := 0 // in a row
	for ctx.Err() == nil {
		if !f.mayRead(view.Table()) {
			// A table that this VM no longer reads must not stay marked as failed. If it was,
			// this call logs that reading succeeded again, although nothing was read.
			f.recordResult(view, nil)
			failures = 0
			wait.For(ctx, f.settings.RecheckInterval)
			continue
		}
		err := f.step(ctx, view)
		if ctx.Err() != nil {
			return
		}
		f.recordResult(view, err)
		if err != nil {
			failures++
			wait.For(ctx, f.settings.Retry(view.Table(), failures))
			continue
		}
		failures = 0
		f.settings.Confirmed(view.Table())
		wait.For(ctx, f.settings.Pause(view.Table()))
	}
}

// step makes one call: a watch, or a list before the first watch and when the store no
// longer keeps the changes to watch.
func (f *Follower) step(ctx context.Context, view *View) error {
	if !view.Synced() {
		return f.list(ctx, view)
	}
	after := view.Version()
	page, err := f.store.Watch(ctx, view.Table(), after, f.settings.Wait(view.Table()))
	if errors.Is(err, ErrHistoryGone) {
		slog.Info("rows: change history is no longer available, listing the table", "table", view.Table(), "after", after)
		return f.list(ctx, view)
	}
	if err != nil {
		return err
	}
	if f.unsettled() {
		for i := range page.Rows {
			page.Rows[i].Unsettled = page.Rows[i].Deleted
		}
	}
	view.Apply(page)
	return nil
}

func (f *Follower) list(ctx context.Context, view *View) error {
	page, err := f.store.List(ctx, view.Table())
	if err != nil {
		return err
	}
	if view.Synced() && Era(page.Version) > Era(view.Version()) {
		f.markRecovered()
	}
	page.Unsettled = f.unsettled()
	view.Replace(page)
	return nil
}

// markRecovered records that rows may be missing from now on: the store has lost some.
func (f *Follower) markRecovered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recoveredAt = time.Now()
}

// recordResult records the result of a call. It logs the beginning and the end of a series
// of failures, once each.
func (f *Follower) recordResult(view *View, err error) {
	f.mu.Lock()
	_, failing := f.failed[view.Table()]
	switch {
	case err != nil && !failing:
		f.failed[view.Table()] = time.Now()
	case err == nil && failing:
		delete(f.failed, view.Table())
		f.recoveredAt = time.Now()
	}
	f.mu.Unlock()
	if err != nil {
		f.failures.Inc(1)
	}
	if err != nil && !failing {
		slog.Warn("rows: reading the store failed", "table", view.Table(), "version", view.Version(), "error", err.Error())
	}
	if err == nil && failing {
		slog.Info("rows: reading the store succeeded again", "table", view.Table(), "version", view.Version())
	}
}
