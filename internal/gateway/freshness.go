package gateway

import (
	"context"
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
	fromStore bool          // the last confirmation came from the store, not from another VM
	storeAt   time.Duration // of the last confirmation from the store, zero if there was none
	// relieved is when a VM that comes before this one in its domain last raised upTo.
	relieved  time.Duration
	confirmed chan struct{} // closed and replaced when upTo rises
}

func newFreshness() *freshness {
	return &freshness{now: bootclock.Now, confirmed: make(chan struct{})}
}

const (
	// confirmInterval is how long the first reader of a failure domain waits for a change of
	// the configuration. Each answer of the store confirms the views of the whole domain.
	confirmInterval = 700 * time.Millisecond
	// behindAge is the age of its views from which on a VM counts as behind the store. It
	// allows for a confirmation, its way through a reader and a pause between requests.
	behindAge = 1250 * time.Millisecond
	// selfReadStep delays each VM that is behind after the VM before it in its domain,
	// up to maxSelfReadSteps: the first ones read the store, the others follow them.
	selfReadStep     = 30 * time.Millisecond
	maxSelfReadSteps = 10
)

// behind reports whether the VM is behind the store: its views were confirmed, but not lately.
func (f *freshness) behind() bool {
	age, known := f.age()
	return known && age > behindAge
}

// readsItself reports whether a VM that does not read the store otherwise has to do so: it is
// behind, or it was and no VM before it in its domain has been as fresh since. position is its
// position there.
func (f *freshness) readsItself(position int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	behind := now-f.upTo > behindAge+time.Duration(min(position, maxSelfReadSteps))*selfReadStep
	return f.known && (behind || f.fromStore && now-f.relieved > behindAge)
}

// untilConfirmed returns a context that also ends at the next confirmation.
func (f *freshness) untilConfirmed(ctx context.Context) (context.Context, context.CancelFunc) {
	f.mu.Lock()
	confirmed := f.confirmed
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		select {
		case <-confirmed:
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// confirm records that another VM's copies, which this VM has now, include all changes that the
// store acknowledged more than age ago. relieves says that the other VM is to read the store
// rather than this one.
func (f *freshness) confirm(age time.Duration, relieves bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.raise(f.now()-age) && relieves {
		f.fromStore, f.relieved = false, f.now()
	}
}

// confirmFromStore records that the store was read.
func (f *freshness) confirmFromStore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeAt = f.now()
	f.fromStore = f.raise(f.storeAt) || f.fromStore
}

// readsStore reports whether the VM reached the store lately.
func (f *freshness) readsStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now()-f.storeAt <= behindAge
}

// raise raises upTo and reports whether it did. The caller holds the lock.
func (f *freshness) raise(upTo time.Duration) bool {
	if f.known && upTo <= f.upTo {
		return false
	}
	f.known, f.upTo = true, upTo
	close(f.confirmed)
	f.confirmed = make(chan struct{})
	return true
}

// age returns how long ago the copies were last known to be complete, and false if they
// never were.
func (f *freshness) age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now() - f.upTo, f.known
}
