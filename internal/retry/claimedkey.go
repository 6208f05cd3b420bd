package retry

import (
	"container/list"
	"slices"
	"time"
)

// claimState is what a book knows of one request's claim. A larger state
// outweighs a smaller one.
type claimState int

const (
	stateUnknown claimState = iota
	stateOpen
	stateFreed
	stateFinished
)

// claimant is one request that claimed a key.
type claimant struct {
	requestID string
	state     claimState
}

// mostClaimants bounds the requests that one key remembers. Beyond it the oldest
// that was given up is forgotten; should its Begin come later still, the key is
// held for a request that can't run any more until the window ends.
const mostClaimants = 32

// claimedKey is one idempotency key. Its book's lock owns it.
type claimedKey struct {
	claimants []claimant // in order of arrival
	expires   time.Time
	queued    *list.Element // place in the book's expiry list
}

func (k *claimedKey) stateOf(requestID string) claimState {
	for _, c := range k.claimants {
		if c.requestID == requestID {
			return c.state
		}
	}
	return stateUnknown
}

// holder returns the claimant that holds the key, a finished one before an open
// one, or nil.
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

// set joins a request's state and returns false when the key is full of requests
// that may have run.
func (k *claimedKey) set(requestID string, state claimState) bool {
	for i := range k.claimants {
		c := &k.claimants[i]
		if c.requestID == requestID {
			c.state = max(c.state, state)
			return true
		}
	}
	if len(k.claimants) >= mostClaimants && !k.forgetFreed() {
		return false
	}
	k.claimants = append(k.claimants, claimant{requestID: requestID, state: state})
	return true
}

// forgetFreed drops the oldest claimant that was given up.
func (k *claimedKey) forgetFreed() bool {
	for i, c := range k.claimants {
		if c.state == stateFreed {
			k.claimants = slices.Delete(k.claimants, i, i+1)
			return true
		}
	}
	return false
}

// expiryList orders the keys of a book by expiry: windows have one length, so the
// key touched last expires last. Keys restored from a snapshot may stand before
// one that expires sooner, which is then kept too long, never too short.
type expiryList struct {
	order list.List
}

type queuedKey struct {
	key   string
	known *claimedKey
}

// add puts a key last.
func (l *expiryList) add(key string, known *claimedKey) {
	if known.queued != nil {
		l.order.MoveToBack(known.queued)
		return
	}
	known.queued = l.order.PushBack(queuedKey{key: key, known: known})
}

// due removes and returns one key whose window ended.
func (l *expiryList) due(now time.Time) (key string, ok bool) {
	front := l.order.Front()
	if front == nil {
		return "", false
	}
	first := front.Value.(queuedKey)
	if now.Before(first.known.expires) {
		return "", false
	}
	l.order.Remove(front)
	return first.key, true
}
