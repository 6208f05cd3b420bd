package retry

import (
	"fmt"
	"sync"
	"time"

	"kumquatcleat/internal/config"
)

// LostClaimsPolicy states what a book without its predecessor's claims does.
type LostClaimsPolicy string

const (
	// LostClaimsRefuse refuses new claims until the lost ones have expired.
	LostClaimsRefuse LostClaimsPolicy = "refuse"
	// LostClaimsAccept accepts new claims at once; a request that ran before the
	// loss may then run again when its caller re-sends it.
	LostClaimsAccept LostClaimsPolicy = "accept"
)

// ClaimSettings bound the claims of one group at one VM.
type ClaimSettings struct {
	// Window is how long a request is not run again, counted from its begin or
	// its end, whichever was later, in milliseconds. Default 600000, at least
	// 120000: twice the longest patience of a caller.
	Window config.Milliseconds `json:"window_ms"`
	// Entries is how many keys a book holds; at this number new claims are
	// refused. Default 100000, at least 16.
	Entries int `json:"entries"`
	// OnLostClaims is "refuse" or "accept". Default "refuse".
	OnLostClaims LostClaimsPolicy `json:"on_lost_book"`
}

// leastWindow keeps the window above the time that a request may still run:
// a claim that expired before would let a second copy run beside the first.
const leastWindow = 2 * config.DefaultMaxTimeoutMS

// DefaultClaimSettings returns the defaults that each field states.
func DefaultClaimSettings() ClaimSettings {
	return ClaimSettings{Window: 600000, Entries: 100000, OnLostClaims: LostClaimsRefuse}
}

// Validate returns an error that names the first field outside its range, its
// value and what is allowed.
func (s ClaimSettings) Validate() error {
	if s.Window < leastWindow {
		return fmt.Errorf("window_ms: %d is not allowed; want at least %d", s.Window, leastWindow)
	}
	if s.Entries < 16 {
		return fmt.Errorf("entries: %d is not allowed; want at least 16", s.Entries)
	}
	if s.OnLostClaims != LostClaimsRefuse && s.OnLostClaims != LostClaimsAccept {
		return fmt.Errorf("on_lost_book: %q is not allowed; want refuse or accept", s.OnLostClaims)
	}
	return nil
}

// Origin states what a new book knows of earlier claims.
type Origin int

const (
	// OriginLost is a book that starts without the claims of its predecessor.
	OriginLost Origin = iota
	// OriginNewGroup is the first book of a group: there are no earlier claims.
	OriginNewGroup
)

// BeginAnswer is the answer to a claim.
type BeginAnswer struct {
	Verdict        Verdict
	FirstRequestID string // with ClaimDuplicate: the request that holds the key
	FirstFinished  bool   // with ClaimDuplicate: it got a whole answer
	Reason         string // with ClaimRefused: why, for people
}

// ClaimTable holds the claims of one group. The keeper's book decides; the
// standby's book follows. It is safe for concurrent use, does no I/O and takes
// its time from the caller.
//
// Protocol. The keeper calls Begin and, when that says ClaimFirst, sends the
// claim to the standby, which calls Replicate. The keeper answers ClaimFirst only
// after the standby took it, at a repeated Begin as well; otherwise it refuses.
// The VM that claimed is the only one to give up its claim: after any other
// answer than ClaimFirst, or none, it sends nothing and tells NotRun. Were the
// keeper to free a key whose replication failed, a repeat of the same Begin whose
// replication succeeded could still let the request run. Finish and NotRun go to
// both books, in any order and any number of times. A standby that is made keeper
// calls Lead first: from then on it takes no claim from its predecessor, which
// can therefore not answer ClaimFirst any more.
//
// Each key holds the request ids that claimed it, each with a state that only
// grows: open, then freed or finished (finished outweighs freed). Joining two
// views takes the larger state of each id, so late, repeated and reordered
// messages can't undo a later one. A key is free when all its ids are freed. A
// freed id stays known until the window ends, so that its late Begin does not
// claim the key again.
type ClaimTable struct {
	settings ClaimSettings

	lock     sync.Mutex // owns all below
	leads    bool
	behind   bool      // another keeper may have granted claims since; sets blind
	blind    time.Time // until then, claims may exist that this book doesn't know
	keys     map[string]*claimedKey
	expiries expiryList
}

// NewClaimTable returns an empty book that follows.
func NewClaimTable(s ClaimSettings, origin Origin, now time.Time) *ClaimTable {
	b := &ClaimTable{settings: s, keys: make(map[string]*claimedKey)}
	if origin == OriginLost {
		b.blind = now.Add(s.Window.Duration())
	}
	return b
}

// Lead makes this the keeper's book. Replicate refuses from now on.
func (b *ClaimTable) Lead() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.leads = true
}

// Follow makes this the standby's book, also when its VM was outside the pair
// meanwhile. Begin refuses from now on. The new keeper may have granted claims
// before it sent any here: until Restore the book can't judge for a window.
func (b *ClaimTable) Follow() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.leads = false
	b.behind = true
}

// Begin claims a key for a request. A repeat by the same request id, whose first
// answer was lost, is answered ClaimFirst again while the claim is open. A
// request id is used for one claim only: after NotRun take a new one.
func (b *ClaimTable) Begin(key, requestID string, now time.Time) BeginAnswer {
	b.lock.Lock()
	defer b.lock.Unlock()
	if !b.leads {
		return refused("this VM does not keep the group")
	}
	b.advance(now)
	known := b.keys[key]
	if known == nil {
		return b.beginNew(key, requestID, now)
	}
	switch known.stateOf(requestID) {
	case stateOpen:
		return BeginAnswer{Verdict: ClaimFirst}
	case stateFreed:
		return refused("the claim was given up")
	}
	if holder := known.holder(); holder != nil {
		return BeginAnswer{
			Verdict:        ClaimDuplicate,
			FirstRequestID: holder.requestID,
			FirstFinished:  holder.state == stateFinished,
		}
	}
	if b.blindTo(now) {
		return refused("claims of a lost VM may still hold the key")
	}
	if !known.set(requestID, stateOpen) {
		return refused("too many claims of this key are held")
	}
	b.touch(key, known, now)
	return BeginAnswer{Verdict: ClaimFirst}
}

func (b *ClaimTable) beginNew(key, requestID string, now time.Time) BeginAnswer {
	if b.blindTo(now) {
		return refused("claims of a lost VM may still hold the key")
	}
	if !b.record(key, requestID, stateOpen, now) {
		return refused("the book of claims is full")
	}
	return BeginAnswer{Verdict: ClaimFirst}
}

func refused(reason string) BeginAnswer {
	return BeginAnswer{Verdict: ClaimRefused, Reason: reason}
}

// Replicate takes a claim that the keeper is about to grant. It returns false
// when this book can't hold it, or leads itself; the keeper must then refuse.
func (b *ClaimTable) Replicate(key, requestID string, now time.Time) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.leads {
		return false
	}
	b.advance(now)
	return b.record(key, requestID, stateOpen, now)
}

// Finish tells that a request got a whole answer: its key stays taken until the
// window ends.
func (b *ClaimTable) Finish(key, requestID string, now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.advance(now)
	b.record(key, requestID, stateFinished, now)
}

// NotRun tells that no copy of a request started and none still can: it gives up
// the claim.
func (b *ClaimTable) NotRun(key, requestID string, now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.advance(now)
	b.record(key, requestID, stateFreed, now)
}

// Len returns how many keys the book holds.
func (b *ClaimTable) Len() int {
	b.lock.Lock()
	defer b.lock.Unlock()
	return len(b.keys)
}

// IncompleteFor returns how long the book can't judge new claims.
func (b *ClaimTable) IncompleteFor(now time.Time) time.Duration {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.advance(now)
	return max(b.blind.Sub(now), 0)
}

func (b *ClaimTable) blindTo(now time.Time) bool {
	return b.settings.OnLostClaims == LostClaimsRefuse && now.Before(b.blind)
}

// record joins one request's state into the book and returns whether the book
// holds it now.
func (b *ClaimTable) record(key, requestID string, state claimState, now time.Time) bool {
	known := b.join(key, requestID, state)
	if known == nil {
		return false
	}
	b.touch(key, known, now)
	return true
}

// join sets one request's state and returns its key, or nil for want of room.
func (b *ClaimTable) join(key, requestID string, state claimState) *claimedKey {
	known := b.keys[key]
	if known == nil {
		if len(b.keys) >= b.settings.Entries {
			return nil
		}
		known = &claimedKey{}
		b.keys[key] = known
	}
	if !known.set(requestID, state) {
		return nil
	}
	return known
}

// touch starts the key's window anew.
func (b *ClaimTable) touch(key string, known *claimedKey, now time.Time) {
	b.keep(key, known, now.Add(b.settings.Window.Duration()))
}

// keep holds the key at least until a moment.
func (b *ClaimTable) keep(key string, known *claimedKey, until time.Time) {
	if until.After(known.expires) {
		known.expires = until
		b.expiries.add(key, known)
	}
}

// advance brings the book to the present.
func (b *ClaimTable) advance(now time.Time) {
	if b.behind {
		b.behind = false
		b.blind = now.Add(b.settings.Window.Duration())
	}
	b.expire(now)
}

// expire forgets the keys whose window ended.
func (b *ClaimTable) expire(now time.Time) {
	for {
		key, ok := b.expiries.due(now)
		if !ok {
			return
		}
		delete(b.keys, key)
	}
}
