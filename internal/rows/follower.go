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

// FollowerSettings are the durations of a Follower.
type FollowerSettings struct {
	// Wait returns how long the next watch call of a table may wait for a change. A
	// call that the store never answers, as after an outage, is given up soon after it.
	Wait func(table string) time.Duration
	// Pause returns the time between two calls for a table, so that a series of
	// changes costs one call for several of them.
	Pause func(table string) time.Duration
	// Retry is the pause after a failed call.
	Retry time.Duration
	// RecheckInterval is how often a follower that may not read looks whether it may.
	RecheckInterval time.Duration
	// SettleTime is how long after the store's return rows may be missing.
	SettleTime time.Duration
}

// Follower brings a store's changes into a set of views while it may read.
type Follower struct {
	settings FollowerSettings
	store    Source
	set      *Set
	may      func(table string) bool
	failures metrics.Counter

	mu     sync.Mutex // owns the fields below
	failed map[string]time.Time
	back   time.Time // when a table last answered after a failure
}

// NewFollower returns a follower. may tells whether this VM is to read a table
// from the store.
func NewFollower(s FollowerSettings, store Source, set *Set, may func(table string) bool, registry metrics.Registry) *Follower {
	return &Follower{
		settings: s, store: store, set: set, may: may, failed: map[string]time.Time{},
		failures: metrics.GetOrRegisterCounter("store_watch_failures", registry),
	}
}

// troubled reports whether a table can't be read now, or could not a moment ago.
func (f *Follower) troubled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.failed) > 0 || (!f.back.IsZero() && time.Since(f.back) < f.settings.SettleTime)
}

// Run follows one table until ctx ends.
func (f *Follower) Run(ctx context.Context, view *View) {
	for ctx.Err() == nil {
		if !f.may(view.Table()) {
			f.note(view, nil)
			wait.For(ctx, f.settings.RecheckInterval)
			continue
		}
		err := f.step(ctx, view)
		if ctx.Err() != nil {
			return
		}
		f.note(view, err)
		if err != nil {
			wait.For(ctx, f.settings.Retry)
			continue
		}
		wait.For(ctx, f.settings.Pause(view.Table()))
	}
}

// step makes one call: a watch, or a list before the first watch and after the
// history was lost.
func (f *Follower) step(ctx context.Context, view *View) error {
	if !view.Synced() {
		return f.list(ctx, view)
	}
	after := view.Version()
	page, err := f.store.Watch(ctx, view.Table(), after, f.settings.Wait(view.Table()))
	if errors.Is(err, ErrHistoryGone) {
		slog.Info("rows: history is gone, listing", "table", view.Table(), "after", after)
		return f.list(ctx, view)
	}
	if err != nil {
		return err
	}
	if f.troubled() {
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
	page.Unsettled = f.troubled()
	view.Replace(page)
	return nil
}

// note logs the loss and the return of the store, once each.
func (f *Follower) note(view *View, err error) {
	f.mu.Lock()
	_, failing := f.failed[view.Table()]
	switch {
	case err != nil && !failing:
		f.failed[view.Table()] = time.Now()
	case err == nil && failing:
		delete(f.failed, view.Table())
		f.back = time.Now()
	}
	f.mu.Unlock()
	if err != nil {
		f.failures.Inc(1)
	}
	if err != nil && !failing {
		slog.Warn("rows: the store does not answer", "table", view.Table(), "version", view.Version(), "error", err.Error())
	}
	if err == nil && failing {
		slog.Info("rows: the store answers again", "table", view.Table(), "version", view.Version())
	}
}
