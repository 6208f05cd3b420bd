package retry

import (
	"fmt"
	"sync"
	"time"

	"kumquatcleat/internal/config"
)

// LostClaimsPolicy selects what a keeper does while claims of its predecessor may be
// missing from its table.
type LostClaimsPolicy string

const (
	// LostClaimsRefuse refuses new claims until the missing ones have expired.
	LostClaimsRefuse LostClaimsPolicy = "refuse"
	// LostClaimsAccept accepts new claims immediately. A request that ran before
	// the loss may then run again if its caller re-sends it.
	LostClaimsAccept LostClaimsPolicy = "accept"
)

// ClaimSettings configures the claims that one VM holds for one group.
type ClaimSettings struct {
	// Window is how long a claim prevents a second run of its request, counted
	// from the start or the end of the request, whichever is later, in
	// milliseconds. Default 600000, at least 120000: twice the default maximum
	// caller timeout.
	Window config.Milliseconds `json:"window_ms"`
	// Entries is the maximum number of keys in a table; a full table refuses new
	// claims. Default 100000, at least 16.
	Entries int `json:"entries"`
	// OnLostClaims is "refuse" or "accept"; see LostClaimsPolicy. Default
	// "refuse".
	OnLostClaims LostClaimsPolicy `json:"on_lost_book"`
}

// minClaimWindow keeps the window longer than a request can run: if a claim expired
// earlier, a second copy could run concurrently with the first.
const minClaimWindow = 2 * config.DefaultMaxTimeoutMS

// DefaultClaimSettings returns the default of every field.
func DefaultClaimSettings() ClaimSettings {
	return ClaimSettings{Window: 600000, Entries: 100000, OnLostClaims: LostClaimsRefuse}
}

// Validate returns an error that names the first field outside its range, its
// value and what is allowed.
func (s ClaimSettings) Validate() error {
	if s.Window < minClaimWindow {
		return fmt.Errorf("window_ms: %d is not allowed; want at least %d", s.Window, minClaimWindow)
	}
	if s.Entries < 16 {
		return fmt.Errorf("entries: %d is not allowed; want at least 16", s.Entries)
	}
	if s.OnLostClaims != LostClaimsRefuse && s.OnLostClaims != LostClaimsAccept {
		return fmt.Errorf("on_lost_book: %q is not allowed; want refuse or accept", s.OnLostClaims)
	}
	return nil
}

// Origin states whether claims may exist that a new table does not hold.
type Origin int

const (
	// OriginLost means that the table starts without the claims of its predecessor.
	OriginLost Origin = iota
	// OriginNewGroup means that the table is the first of its group: there are no
	// earlier claims.
	OriginNewGroup
)

// BeginAnswer is the result of ClaimTable.Begin.
type BeginAnswer struct {
	Verdict        Verdict
	FirstRequestID string // with ClaimDuplicate: the request that holds the key
	FirstFinished  bool   // with ClaimDuplicate: that request got a complete answer
	Reason         string // with ClaimRefused: human-readable cause
}

// ClaimTable holds the claims of one group. The keeper's table grants claims; the
// standby's table is its replica. It is safe for concurrent use, does no I/O and
// receives the current time from its caller.
//
// Protocol: the keeper calls Begin. If the verdict is ClaimFirst, the keeper sends the
// claim to the standby, which calls Replicate. The keeper answers ClaimFirst only after
// the standby has accepted the claim, also for a repeated Begin; otherwise it refuses.
// Only the VM that asked the keeper for a claim releases it: after any answer other than
// ClaimFirst, or none, it does not send the request and reports NotRun. If the keeper
// released the key because the replication of one Begin failed, another request could
// claim it while a repeat of that Begin already under way is replicated successfully;
// both would run. Finish and NotRun go to both tables, in any order and any number of
// times. A standby that becomes keeper calls BecomeKeeper first: from then on it accepts
// no claim from its predecessor, which can therefore no longer answer ClaimFirst.
//
// Each key holds the request ids that claimed it. The state of an id only
// increases: open, then released or finished, where finished overrides released.
// Merging two views takes the larger state of each id, so late, repeated and
// reordered messages cannot undo a later one. A key is free when all its ids are
// released. A released id is kept until the window ends, so that its late Begin
// does not claim the key again.
//
// A table is incomplete while claims may exist that it does not hold. That lasts at
// most one window, after which those claims have expired.
type ClaimTable struct {
	settings ClaimSettings

	lock            sync.Mutex // guards the fields below
	isKeeper        bool
	stale           bool      // another keeper may have granted claims; advanceTo then sets incompleteUntil
	incompleteUntil time.Time // until then, claims may exist that this table does not hold
	keys            map[string]*claimedKey
	expiries        expiryList
}

// NewClaimTable returns an empty table in the standby role.
func NewClaimTable(s ClaimSettings, origin Origin, now time.Time) *ClaimTable {
	t := &ClaimTable{settings: s, keys: make(map[string]*claimedKey)}
	if origin == OriginLost {
		t.incompleteUntil = now.Add(s.Window.Duration())
	}
	return t
}

// BecomeKeeper makes this the keeper's table. From then on, Replicate returns false.
func (t *ClaimTable) BecomeKeeper() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.isKeeper = true
}

// BecomeStandby makes this the standby's table, also if its VM was neither keeper nor
// standby in between. From then on, Begin refuses. The new keeper may have granted
// claims before it replicated any to this table, so the table is incomplete for one
// window or until a snapshot is restored.
func (t *ClaimTable) BecomeStandby() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.isKeeper = false
	t.stale = true
}

// Begin claims a key for a request. A repeat with the same request id, sent because
// the first answer was lost, gets ClaimFirst again while the claim is open. A
// request id is used for one claim only: after NotRun, use a new one.
func (t *ClaimTable) Begin(key, requestID string, now time.Time) BeginAnswer {
	t.lock.Lock()
	defer t.lock.Unlock()
	if !t.isKeeper {
		return refused("this VM does not keep the group")
	}
	t.advanceTo(now)
	entry := t.keys[key]
	if entry == nil {
		return t.beginNew(key, requestID, now)
	}
	switch entry.stateOf(requestID) {
	case stateOpen:
		return BeginAnswer{Verdict: ClaimFirst}
	case stateReleased:
		return refused("the claim was given up")
	}
	if holder := entry.holder(); holder != nil {
		return BeginAnswer{
			Verdict:        ClaimDuplicate,
			FirstRequestID: holder.requestID,
			FirstFinished:  holder.state == stateFinished,
		}
	}
	if t.refusesNewClaims(now) {
		return refused("claims of a lost VM may still hold the key")
	}
	if !entry.set(requestID, stateOpen) {
		return refused("too many claims of this key are held")
	}
	t.restartWindow(key, entry, now)
	return BeginAnswer{Verdict: ClaimFirst}
}

func (t *ClaimTable) beginNew(key, requestID string, now time.Time) BeginAnswer {
	if t.refusesNewClaims(now) {
		return refused("claims of a lost VM may still hold the key")
	}
	if !t.record(key, requestID, stateOpen, now) {
		return refused("the book of claims is full")
	}
	return BeginAnswer{Verdict: ClaimFirst}
}

func refused(reason string) BeginAnswer {
	return BeginAnswer{Verdict: ClaimRefused, Reason: reason}
}

// Replicate stores a claim that the keeper is about to grant. It returns false if
// this table is full or is itself the keeper's; the keeper must then refuse.
func (t *ClaimTable) Replicate(key, requestID string, now time.Time) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.isKeeper {
		return false
	}
	t.advanceTo(now)
	return t.record(key, requestID, stateOpen, now)
}

// Finish records that a request got a complete answer. Its key stays claimed until
// the window ends.
func (t *ClaimTable) Finish(key, requestID string, now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.advanceTo(now)
	t.record(key, requestID, stateFinished, now)
}

// NotRun releases the claim of a request of which no copy started and none still
// can.
func (t *ClaimTable) NotRun(key, requestID string, now time.Time) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.advanceTo(now)
	t.record(key, requestID, stateReleased, now)
}

// Len returns the number of keys in the table.
func (t *ClaimTable) Len() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return len(t.keys)
}

// IncompleteFor returns how much longer claims may exist that the table does not
// hold.
func (t *ClaimTable) IncompleteFor(now time.Time) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.advanceTo(now)
	return max(t.incompleteUntil.Sub(now), 0)
}

// refusesNewClaims reports whether a key without a known holder is refused, because a
// claim that the table lacks may hold it.
func (t *ClaimTable) refusesNewClaims(now time.Time) bool {
	return t.settings.OnLostClaims == LostClaimsRefuse && now.Before(t.incompleteUntil)
}

// record merges one request's state into the table, restarts the key's window, and
// reports whether the table holds the state now.
func (t *ClaimTable) record(key, requestID string, state claimState, now time.Time) bool {
	entry := t.merge(key, requestID, state)
	if entry == nil {
		return false
	}
	t.restartWindow(key, entry, now)
	return true
}

// merge sets one request's state and returns its key's entry, or nil if the table
// or the entry is full.
func (t *ClaimTable) merge(key, requestID string, state claimState) *claimedKey {
	entry := t.keys[key]
	if entry == nil {
		if len(t.keys) >= t.settings.Entries {
			return nil
		}
		entry = &claimedKey{}
		t.keys[key] = entry
	}
	if !entry.set(requestID, state) {
		return nil
	}
	return entry
}

// restartWindow makes the key expire one window from now.
func (t *ClaimTable) restartWindow(key string, entry *claimedKey, now time.Time) {
	t.extendExpiry(key, entry, now.Add(t.settings.Window.Duration()))
}

// extendExpiry keeps the key at least until the given time.
func (t *ClaimTable) extendExpiry(key string, entry *claimedKey, until time.Time) {
	if until.After(entry.expires) {
		entry.expires = until
		t.expiries.add(key, entry)
	}
}

// advanceTo applies the passage of time: it starts the incomplete window of a stale
// table and drops expired keys.
func (t *ClaimTable) advanceTo(now time.Time) {
	if t.stale {
		t.stale = false
		t.incompleteUntil = now.Add(t.settings.Window.Duration())
	}
	t.expire(now)
}

// expire deletes the keys whose window has ended.
func (t *ClaimTable) expire(now time.Time) {
	for {
		key, ok := t.expiries.popExpired(now)
		if !ok {
			return
		}
		delete(t.keys, key)
	}
}
