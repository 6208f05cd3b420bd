package keyspace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The random walk drives lease trackers against simulated servers in virtual time.
// Calls arrive late, are executed long after arrival, or lose their answer; servers
// crash and restart under the same ID; coordinators are replaced.

const (
	walkKeys = 16
	// maxWalkRanges bounds the number of ranges, which begins at one a server.
	maxWalkRanges = 8
	walkStep      = 20 * time.Millisecond
)

var walkTiming = Timing{
	Lease: 4 * time.Second, LongLease: 10 * time.Second, RenewInterval: 800 * time.Millisecond, TokenRaiseDelay: 300 * time.Millisecond,
	ReleaseRetryInterval: 700 * time.Millisecond, UnresponsiveTimeout: 1200 * time.Millisecond, CallTimeout: callTimeout, DriftPerMill: 25, Slack: 50 * time.Millisecond, LinkQueueDelay: linkQueueDelay,
}

// callTimeout is the timeout of a call, after which its connection is reset.
const callTimeout = 600 * time.Millisecond

// linkQueueDelay is how long packets may be queued at a link. With a longer queue,
// operators count a VM as slowed.
const linkQueueDelay = 500 * time.Millisecond

// registrationTimeout is how long the registration of a crashed server remains.
const registrationTimeout = 2600 * time.Millisecond

// walkServer is a simulated server whose clock runs 2 % slow.
type walkServer struct {
	holder           Holder
	up               bool
	reachable        bool
	downAt           time.Duration
	knownIncarnation int64                   // newest incarnation known to the coordinator
	heldUntil        [walkKeys]time.Duration // true time at which its lease expires
	token            [walkKeys]uint64        // of the current lease
	seenToken        [walkKeys]uint64
}

// advertised returns the server as known to the coordinator.
func (s *walkServer) advertised() Holder {
	return Holder{Server: s.holder.Server, Incarnation: max(s.knownIncarnation, 1)}
}

func (s *walkServer) holds(key int, now time.Duration) bool { return s.up && now < s.heldUntil[key] }

// event is an action due at a time.
type event struct {
	at time.Duration
	do func()
}

type randomWalk struct {
	t                 *testing.T
	rng               *rand.Rand
	now               time.Duration
	servers           []*walkServer
	events            []event
	leases            *LeaseTracker
	record            Record // as in the store
	version           uint64
	generation        int
	highestToken      [walkKeys]uint64
	ackedBy           map[uint64]Holder // incarnation that acknowledged a token
	lastHolder        [walkKeys]Holder
	violation         string
	injectBug         func(*LeaseTracker)
	ownershipChanges  int
	lastLongLeaseAt   time.Duration // when a coordinator last granted long leases
	longLeasesAllowed bool
}

func newRandomWalk(t *testing.T, seed uint64, injectBug func(*LeaseTracker)) *randomWalk {
	w := &randomWalk{t: t, rng: rand.New(rand.NewPCG(seed, 1)), injectBug: injectBug, version: 1, ackedBy: map[uint64]Holder{}}
	for i := range 4 {
		w.servers = append(w.servers, &walkServer{
			holder: Holder{Server: fmt.Sprintf("s%d", i), Incarnation: 1}, up: true, reachable: true,
		})
	}
	w.leases = NewLeaseTracker(walkTiming, Record{}, 0, 0, 0, 0)
	var ranges []Range
	for i := range 4 {
		from := uint32(i * walkKeys / 4)
		ranges = append(ranges, Range{Span: Span{from, from + walkKeys/4 - 1}, Owner: w.servers[i].holder, Pending: true})
	}
	w.commit(Record{Ranges: ranges})
	return w
}

func (w *randomWalk) server(h Holder) *walkServer {
	for _, s := range w.servers {
		if s.holder.Server == h.Server {
			return s
		}
	}
	return nil
}

// stateOf returns the server state known to the coordinator, which learns of a new
// incarnation with a delay.
func (w *randomWalk) stateOf(h Holder) ServerState {
	s := w.server(h)
	switch {
	case s.knownIncarnation > h.Incarnation:
		return Unregistered
	case !s.up && w.now-s.downAt > registrationTimeout:
		return Unregistered
	default:
		return Serving
	}
}

func (w *randomWalk) schedule(after time.Duration, do func()) {
	w.events = append(w.events, event{w.now + after, do})
}

func (w *randomWalk) commit(next Record) {
	w.version++
	for i := range next.Ranges {
		if next.Ranges[i].Token == 0 {
			next.Ranges[i].Token = w.version
		}
	}
	w.record = next
	w.leases.Committed(next, w.version)
}

func (w *randomWalk) chance(perMill int) bool { return w.rng.IntN(1000) < perMill }

func (w *randomWalk) randomDuration(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rng.Int64N(int64(b-a)))
}

// send simulates an order: what the server does, and what result the sender gets.
func (w *randomWalk) send(order Order) {
	generation, leases := w.generation, w.leases
	done := func(after time.Duration, result Result) {
		w.schedule(after, func() {
			if w.generation == generation {
				leases.Done(w.now, order, result)
				if w.injectBug != nil {
					w.injectBug(leases)
				}
			}
		})
	}
	s := w.server(order.To)
	if order.Session != 0 && w.ackedBy[order.Token] != s.holder {
		done(walkStep, Result{Unsent: true}) // no connection to the acknowledging incarnation is open
		return
	}
	if !s.reachable || !s.up {
		done(callTimeout, Result{Unsent: w.chance(500)})
		return
	}
	// A call reaches the incarnation that runs when its connection is opened, which
	// may be a newer one under the same ID and address.
	incarnation := s.holder.Incarnation
	travel := w.randomDuration(0, 50*time.Millisecond)
	if w.chance(50) {
		travel = w.randomDuration(0, callTimeout-walkStep)
	}
	if w.chance(20) {
		// The bytes of the call wait in a link's queue, and the reset behind them.
		travel = callTimeout + w.randomDuration(0, linkQueueDelay)
	}
	late := w.chance(150)
	if travel >= callTimeout {
		done(callTimeout, Result{})
		done = func(time.Duration, Result) {}
	}
	w.schedule(travel, func() {
		if !s.up || s.holder.Incarnation != incarnation {
			done(max(callTimeout-travel, 0), Result{}) // the connection broke
			return
		}
		arrival := w.now
		if late {
			w.schedule(w.randomDuration(2*time.Second, 12*time.Second), func() { w.apply(s, order, arrival, incarnation) })
			done(callTimeout-travel, Result{})
			return
		}
		result := w.apply(s, order, arrival, incarnation)
		result.Session = 1 // all connections to one incarnation count as one session here
		if order.Kind == OrderGrant && result.Acknowledged {
			w.ackedBy[order.Token] = s.holder
		}
		if w.chance(100) {
			done(callTimeout-travel, Result{}) // the answer was lost
			return
		}
		done(w.randomDuration(0, max(callTimeout-travel, walkStep)), result)
	})
}

// apply executes an order, which arrived earlier, at one incarnation of a server.
func (w *randomWalk) apply(s *walkServer, order Order, arrival time.Duration, incarnation int64) Result {
	if s.holder.Incarnation != incarnation || !s.up {
		return Result{}
	}
	if order.Kind == OrderRelease {
		for k := order.Span.From; k <= order.Span.To; k++ {
			if s.token[k] <= order.Token {
				s.heldUntil[k] = 0
			}
		}
		return Result{Acknowledged: true}
	}
	for k := order.Span.From; k <= order.Span.To; k++ {
		if s.seenToken[k] > order.Token {
			return Result{Rejected: true}
		}
	}
	// The server's clock runs 2 % slow, so its lease lasts longer.
	heldUntil := arrival + order.Lease + order.Lease/50
	for k := order.Span.From; k <= order.Span.To; k++ {
		s.seenToken[k], s.token[k] = order.Token, order.Token
		s.heldUntil[k] = max(s.heldUntil[k], heldUntil)
		w.checkToken(s, int(k), order.Token)
	}
	return Result{Acknowledged: true}
}

// checkToken reports a violation if a key is taken with a token that is not above the
// tokens of all other holders.
func (w *randomWalk) checkToken(s *walkServer, key int, token uint64) {
	if !s.holds(key, w.now) {
		return
	}
	if !w.lastHolder[key].Same(s.holder) && token <= w.highestToken[key] {
		w.violation = fmt.Sprintf("%v: key %d acquired by %v with token %d, but token %d was granted to %v", w.now, key, s.holder, token, w.highestToken[key], w.lastHolder[key])
	}
	if token > w.highestToken[key] {
		w.highestToken[key], w.lastHolder[key] = token, s.holder
		w.ownershipChanges++
	}
}

func (w *randomWalk) checkOwners() {
	for key := range walkKeys {
		var holders []Holder
		for _, s := range w.servers {
			if s.holds(key, w.now) {
				holders = append(holders, s.holder)
			}
		}
		if len(holders) > 1 {
			w.violation = fmt.Sprintf("%v: key %d is held by %v", w.now, key, holders)
		}
	}
}

// injectFault causes a fault with low probability.
func (w *randomWalk) injectFault() {
	s := w.servers[w.rng.IntN(len(w.servers))]
	switch {
	case w.chance(3):
		s.reachable = false
		w.schedule(w.randomDuration(time.Second, 8*time.Second), func() { s.reachable = true })
	case w.chance(3) && s.up:
		s.up, s.downAt = false, w.now
		w.schedule(w.randomDuration(200*time.Millisecond, 6*time.Second), func() {
			s.holder.Incarnation++
			*s = walkServer{holder: s.holder, up: true, reachable: true, knownIncarnation: s.knownIncarnation}
			incarnation := s.holder.Incarnation
			w.schedule(w.randomDuration(0, 800*time.Millisecond), func() { s.knownIncarnation = max(s.knownIncarnation, incarnation) })
		})
	case w.chance(2):
		w.takeOver()
	case w.chance(10):
		w.longLeasesAllowed = w.chance(300)
		w.leases.SetLongLeases(w.longLeasesAllowed)
	}
}

// takeOver replaces the coordinator. Calls that the old one sent continue.
func (w *randomWalk) takeOver() {
	w.generation++
	lease := walkTiming.Lease
	if w.lastLongLeaseAt != 0 && w.now-w.lastLongLeaseAt < withDrift(walkTiming.LongLease, walkTiming.DriftPerMill)+longGrantMargin {
		lease = walkTiming.LongLease
	}
	w.longLeasesAllowed = false
	w.leases = NewLeaseTracker(walkTiming, w.record, w.version, w.version, w.now, lease)
	if w.injectBug != nil {
		w.injectBug(w.leases)
	}
}

// plan moves the keys of unavailable owners, and others at random.
func (w *randomWalk) plan() {
	next := w.leases.record.clone()
	changed := w.leases.applyProgress(w.now, &next)
	changed = w.leases.takeOverRanges(&next) || changed
	for i := range next.Ranges {
		r := &next.Ranges[i]
		unavailable := w.stateOf(r.Owner) != Serving || w.leases.unresponsiveFor(w.now, r.Owner) > walkTiming.UnresponsiveTimeout
		split := !unavailable && !r.Pending && r.Keys() > 1 && len(next.Ranges) < maxWalkRanges && w.chance(20)
		if !unavailable && !split && (r.Pending || !w.chance(4)) {
			continue
		}
		to := w.servers[w.rng.IntN(len(w.servers))].advertised()
		if !unavailable && to.Same(r.Owner) {
			continue
		}
		if split {
			// Only a part moves. The rest keeps its owner and its token.
			rest := *r
			rest.To = r.From + uint32(r.Keys()/2) - 1
			r.From = rest.To + 1
			next.Ranges = append(next.Ranges, rest)
		}
		r = &next.Ranges[i]
		if !r.Pending {
			r.Former = []Former{{r.Owner, r.Token}}
		}
		r.Owner, r.Token, r.raiseToken, r.Pending, changed = to, 0, false, true, true
	}
	if changed {
		slices.SortFunc(next.Ranges, func(a, b Range) int { return int(a.From) - int(b.From) })
		next.Ranges, _ = mergeAdjacent(next.Ranges, w.leases.acknowledged)
		next.raiseTokens()
		w.commit(next)
		if w.injectBug != nil {
			w.injectBug(w.leases)
		}
	}
}

func (w *randomWalk) run(length time.Duration) string {
	for w.now < length && w.violation == "" {
		w.now += walkStep
		due := w.events
		w.events = nil
		for _, e := range due {
			if e.at > w.now {
				w.events = append(w.events, e)
				continue
			}
			e.do()
		}
		w.injectFault()
		if w.longLeasesAllowed {
			w.lastLongLeaseAt = w.now
		}
		for _, order := range w.leases.Orders(w.now, w.stateOf) {
			w.send(order)
		}
		if w.now%(100*time.Millisecond) == 0 {
			w.plan()
		}
		w.checkOwners()
	}
	return w.violation
}

const (
	walkSeeds  = 60
	walkLength = 2 * time.Minute
)

func TestRandomWalkKeepsOneOwnerAndRisingTokens(t *testing.T) {
	ownershipChanges := 0
	for seed := range uint64(walkSeeds) {
		w := newRandomWalk(t, seed, nil)
		if violation := w.run(walkLength); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		ownershipChanges += w.ownershipChanges
	}
	if ownershipChanges < walkSeeds*walkKeys*4 {
		t.Fatalf("got only %d ownership changes: the random walk tests too little", ownershipChanges)
	}
}

// Guards against a random walk that detects nothing: it must find each injected bug.
func TestRandomWalkFindsInjectedBugs(t *testing.T) {
	bugs := map[string]func(*LeaseTracker){
		"leases of former holders are ignored": func(l *LeaseTracker) {
			for _, s := range l.ranges {
				for _, f := range s.former {
					f.leaseEnd = 0
				}
			}
		},
		"unanswered grants are ignored after a release": func(l *LeaseTracker) {
			for _, h := range l.holders {
				h.unansweredGrants = nil
			}
		},
		"a new coordinator ignores inherited leases": func(l *LeaseTracker) {
			l.startedAt = -time.Hour
			for _, h := range l.holders {
				// Only the grant that stands for all grants of the previous coordinator
				// spans more than walkKeys keys.
				if len(h.unansweredGrants) == 1 && h.unansweredGrants[0].span.To > walkKeys {
					h.leaseEnd, h.unansweredGrants = 0, nil
				}
			}
		},
		"servers are assumed to have seen any token": func(l *LeaseTracker) {
			for _, s := range l.ranges {
				for _, f := range s.former {
					f.seenToken = 1 << 40
				}
			}
		},
		"clock drift of servers is ignored":       func(l *LeaseTracker) { l.timing.DriftPerMill, l.timing.Slack = 0, -100*time.Millisecond },
		"unreachable servers count as terminated": nil,
	}
	for name, injectBug := range bugs {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10 * walkSeeds) {
				w := newRandomWalk(t, seed, injectBug)
				if injectBug == nil {
					w.treatUnreachableAsTerminated()
				}
				if w.run(walkLength) != "" {
					return
				}
			}
			t.Fatal("random walk did not find the injected bug")
		})
	}
}

// treatUnreachableAsTerminated ends the leases of unreachable servers at once, as if a
// refused connection proved that a server has terminated. A network partition can also
// refuse connections: new owners are then granted keys that the former ones still hold.
func (w *randomWalk) treatUnreachableAsTerminated() {
	w.injectBug = func(l *LeaseTracker) {
		for _, s := range w.servers {
			if s.reachable {
				continue
			}
			for _, state := range l.ranges {
				if former := state.former[holderKey(s.holder)]; former != nil {
					former.leaseEnd = 0
				}
			}
		}
	}
}
