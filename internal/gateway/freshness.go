package gateway

import (
	"sync"
	"time"

	"kumquatcleat/internal/bootclock"
)

// freshness tracks the time up to which this VM's copies of the store's tables are known to
// be complete. Reading the store confirms them, and so does another VM that states how old
// its copies are. Safe for concurrent use.
type freshness struct {
	// now includes suspensions: a VM that was suspended must not take its copies for fresh.
	now bootclock.Clock

	mu        sync.Mutex    // guards the fields below
	known     bool          // the copies were confirmed at least once
	upTo      time.Duration // by now
	confirmed chan struct{} // closed and replaced when upTo rises
}

func newFreshness() *freshness {
	return &freshness{now: bootclock.Now, confirmed: make(chan struct{})}
}

// confirm records that the copies include all changes that the store acknowledged more than
// age ago.
func (f *freshness) confirm(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	upTo := f.now() - age
	if f.known && upTo <= f.upTo {
		return
	}
	f.known, f.upTo = true, upTo
	close(f.confirmed)
	f.confirmed = make(chan struct{})
}

// age returns how long ago the copies were last known to be complete, and false if they
// never were.
func (f *freshness) age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now() - f.upTo, f.known
}
