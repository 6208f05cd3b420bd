package keyspace

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Keys whose owner got them without handover data from the former one, which was lost or cut off, are
// slow for a time. VMs learn which ones: while their owner is overloaded, requests for other
// keys go first, of which it can run several in the same time.

// SlowSpan is a span of keys that are slow for some time.
type SlowSpan struct {
	Span
	Left time.Duration // until they are as fast as others
}

// MarshalJSON implements json.Marshaler. Spans are sent to all VMs, so they are encoded as whole
// numbers: first key, last key, milliseconds.
func (s SlowSpan) MarshalJSON() ([]byte, error) {
	return json.Marshal([3]int64{int64(s.From), int64(s.To), s.Left.Milliseconds()})
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *SlowSpan) UnmarshalJSON(data []byte) error {
	var n [3]int64
	if err := json.Unmarshal(data, &n); err != nil {
		return fmt.Errorf("slow keys: %w", err)
	}
	if n[0] < 0 || n[1] < n[0] || n[1] > maxSlowKey || n[2] < 0 || n[2] > maxSlowTime.Milliseconds() {
		return fmt.Errorf("slow keys: %v is no span with a time", n)
	}
	*s = SlowSpan{Span{uint32(n[0]), uint32(n[1])}, time.Duration(n[2]) * time.Millisecond}
	return nil
}

const (
	maxSlowKey  = 1<<32 - 1
	maxSlowTime = time.Hour
)

// slowSpan is a span that is slow until a time of the coordinator's clock.
type slowSpan struct {
	Span
	until time.Duration
}

// setSlowTime sets for how long keys are slow that move without handover data; 0: not known.
func (l *LeaseTracker) setSlowTime(d time.Duration) { l.slowTime = d }

// recordSlow records that the owner of a range got its keys without handover data.
func (l *LeaseTracker) recordSlow(now time.Duration, span Span) {
	if l.slowTime > 0 {
		l.slow, l.mergedSlow = append(l.slow, slowSpan{span, now + l.slowTime}), nil
	}
}

// mergedSlowTime is the difference in time up to which adjacent slow spans are sent as one: the keys
// of a lost server move in pieces.
const mergedSlowTime = 300 * time.Millisecond

// slowSpansLife is how long slow spans are kept once they were computed: half of the interval at
// which VMs report.
const slowSpansLife = 200 * time.Millisecond

// slowSpans returns the spans that are slow, in ascending order, as of slowSpansLife ago at most.
func (l *LeaseTracker) slowSpans(now time.Duration) []SlowSpan {
	if len(l.slow) == 0 {
		return nil
	}
	if l.mergedSlow != nil && now-l.mergedSlowAt < slowSpansLife {
		return l.mergedSlow
	}
	l.slow = slices.DeleteFunc(l.slow, func(s slowSpan) bool { return s.until <= now })
	slices.SortFunc(l.slow, func(a, b slowSpan) int { return cmp.Compare(a.From, b.From) })
	list := []SlowSpan{}
	for _, s := range l.slow {
		left := s.until - now
		if n := len(list); n > 0 && s.From <= list[n-1].To+1 && max(left, list[n-1].Left)-min(left, list[n-1].Left) <= mergedSlowTime {
			list[n-1].To, list[n-1].Left = max(list[n-1].To, s.To), max(list[n-1].Left, left)
			continue
		}
		list = append(list, SlowSpan{s.Span, left})
	}
	l.mergedSlow, l.mergedSlowAt = list, now
	return list
}

// maxSentSlowSpans bounds the slow spans of a service that are sent to all VMs together in one
// reporting interval, about 300 kB.
const maxSentSlowSpans = 15_000

// SlowKeys returns the slow keys of all services, of a service those that are slow for longest if
// there are too many.
func (c *Coordinator) SlowKeys() map[string][]SlowSpan {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, limit := c.clock(), maxSentSlowSpans/max(c.inFlight.VMs(), 1)
	var all map[string][]SlowSpan
	for service, svc := range c.serviceStates {
		list := svc.leases.slowSpans(now)
		if len(list) > limit {
			list = slices.Clone(list)
			slices.SortFunc(list, func(a, b SlowSpan) int { return cmp.Compare(b.Left, a.Left) })
			list = list[:limit]
			slices.SortFunc(list, func(a, b SlowSpan) int { return cmp.Compare(a.From, b.From) })
		}
		if len(list) > 0 {
			if all == nil {
				all = map[string][]SlowSpan{}
			}
			all[service] = list
		}
	}
	return all
}

// slowKeyWork is how much work a request for a slow key takes, relative to others. The descriptions of
// two sites state a factor of 5.2.
const slowKeyWork = 5.0

// slowWork returns the work of a request for a key, relative to others.
func (l *LeaseTracker) slowWork(now time.Duration, key uint32) float64 {
	spans := l.slowSpans(now)
	after, _ := slices.BinarySearchFunc(spans, key, func(s SlowSpan, key uint32) int {
		if s.From <= key {
			return -1
		}
		return 1
	})
	if after > 0 && key <= spans[after-1].To {
		return slowKeyWork
	}
	return 1
}

// SlowKeys holds what a VM knows of slow keys. Safe for concurrent use.
type SlowKeys struct {
	mu       sync.RWMutex // guards the fields below
	services map[string][]SlowSpan
	asOf     time.Time
	// pending are the ranges that are on the move, by service and span; moved are those that
	// arrived lately as keys do whose former owner is lost.
	pending map[string]map[Span]pendingRange
	moved   map[string][]movedSpan
}

type pendingRange struct {
	since time.Time
	lost  bool // the former owner is known to be lost
}

type movedSpan struct {
	Span
	at time.Time
}

const (
	// usualMoveTime outlasts a usual move, for which the former owner ends its requests and hands
	// its data over. A move that takes longer waits for the end of a lease.
	usualMoveTime = 1200 * time.Millisecond
	// movedTime is how long a VM goes by the records alone: until it has the coordinator's answer
	// to a report that it sent after the move.
	movedTime = 1500 * time.Millisecond
	// answerDelay is how long after a move the coordinator may not know that the owner has the keys.
	answerDelay = 200 * time.Millisecond
)

// observe takes account of a new owners record of a service.
func (k *SlowKeys) observe(now time.Time, service string, record *Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, after := k.pending[service], map[Span]pendingRange{}
	moved := slices.DeleteFunc(k.moved[service], func(m movedSpan) bool { return now.Sub(m.at) > movedTime })
	for i := range record.Ranges {
		r := &record.Ranges[i]
		was, known := before[r.Span]
		switch {
		case r.Pending && known:
			after[r.Span] = was
		case r.Pending:
			after[r.Span] = pendingRange{now, len(r.Former) == 0}
		case known && (was.lost || now.Sub(was.since) > usualMoveTime):
			moved = append(moved, movedSpan{r.Span, now})
		}
	}
	if k.pending == nil {
		k.pending, k.moved = map[string]map[Span]pendingRange{}, map[string][]movedSpan{}
	}
	k.pending[service], k.moved[service] = after, moved
}

// JustMoved reports whether a key has just got an owner after its former one was lost, so that it is
// probably slow, and the coordinator has not told yet.
func (k *SlowKeys) JustMoved(now time.Time, service string, key uint32) bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return slices.ContainsFunc(k.moved[service], func(m movedSpan) bool {
		return m.From <= key && key <= m.To && now.Sub(m.at) <= movedTime && k.asOf.Before(m.at.Add(answerDelay))
	})
}

// Update replaces the slow keys by those that the coordinator told, as of the given time.
func (k *SlowKeys) Update(asOf time.Time, services map[string][]SlowSpan) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.services, k.asOf = services, asOf
}

// Left returns for how long a key is slow, 0 if it is not known to be. What the coordinator told
// counts without its further answers, as it only gets less.
func (k *SlowKeys) Left(now time.Time, service string, key uint32) time.Duration {
	k.mu.RLock()
	defer k.mu.RUnlock()
	left := time.Duration(0)
	for _, s := range k.services[service] {
		if s.From > key {
			break
		}
		if key <= s.To { // spans overlap if a key moved twice
			left = max(left, s.Left-now.Sub(k.asOf))
		}
	}
	return left
}
