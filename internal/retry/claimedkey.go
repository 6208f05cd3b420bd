package retry

import (
	"container/list"
	"slices"
	"time"
)

// claimState is the state of one request's claim. A larger state overrides a
// smaller one. The numbers are part of the claim snapshot.
type claimState int

const (
	stateUnknown claimState = iota
	stateOpen
	stateReleased
	stateFinished
)

// claimant is one request that claimed a key.
type claimant struct {
	requestID string
	state     claimState
}

// maxClaimants bounds the requests stored per key. At the bound, the oldest released
// one is evicted. If its Begin arrives after that, a request that can no longer run
// keeps the key claimed until the window ends.
const maxClaimants = 32

// claimedKey is the entry of one idempotency key, guarded by its table's lock.
type claimedKey struct {
	claimants []claimant // in arrival order
	expires   time.Time
	queued    *list.Element // element in the table's expiry list
}

func (k *claimedKey) stateOf(requestID string) claimState {
	for _, c := range k.claimants {
		if c.requestID == requestID {
			return c.state
		}
	}
	return stateUnknown
}

// holder returns the claimant that holds the key, or nil if the key is free. A
// finished claimant takes precedence over an open one.
func (k *claimedKey) holder() *claimant {
	var open *claimant
	for i := range k.claimants {
		c := &k.claimants[i]
		if c.state == stateFinished {
			return c
		}
		if c.state == stateOpen && open == nil {
			open = c
		}
	}
	return open
}

// set merges a request's state. It returns false if the key already has the maximum
// number of claimants and all of them may have run.
func (k *claimedKey) set(requestID string, state claimState) bool {
	for i := range k.claimants {
		c := &k.claimants[i]
		if c.requestID == requestID {
			c.state = max(c.state, state)
			return true
		}
	}
	if len(k.claimants) >= maxClaimants && !k.evictReleased() {
		return false
	}
	k.claimants = append(k.claimants, claimant{requestID: requestID, state: state})
	return true
}

// evictReleased deletes the oldest released claimant and reports whether there was
// one.
func (k *claimedKey) evictReleased() bool {
	for i, c := range k.claimants {
		if c.state == stateReleased {
			k.claimants = slices.Delete(k.claimants, i, i+1)
			return true
		}
	}
	return false
}

// expiryList orders the keys of a table by expiry. All windows have the same length,
// so the key updated last expires last. A key restored from a snapshot may precede
// one that expires sooner; the latter is then kept too long, never too short.
type expiryList struct {
	order list.List
}

type queuedKey struct {
	key   string
	entry *claimedKey
}

// add moves a key to the back, or inserts it there.
func (l *expiryList) add(key string, entry *claimedKey) {
	if entry.queued != nil {
		l.order.MoveToBack(entry.queued)
		return
	}
	entry.queued = l.order.PushBack(queuedKey{key: key, entry: entry})
}

// popExpired removes and returns one key whose window has ended.
func (l *expiryList) popExpired(now time.Time) (key string, ok bool) {
	front := l.order.Front()
	if front == nil {
		return "", false
	}
	first := front.Value.(queuedKey)
	if now.Before(first.entry.expires) {
		return "", false
	}
	l.order.Remove(front)
	return first.key, true
}
