package admission

import (
	"slices"
	"sync"
	"time"
)

const (
	// deadlines is how many stated deadlines of a route are kept.
	deadlines = 64
	// refreshInterval is after how many requests the common deadlines are determined again.
	refreshInterval = 16
	// minRecurrence is how often a deadline must recur, to the millisecond, among the recent ones to
	// be that of first attempts. Even if each first attempt is repeated twice, a third of all
	// state it, and what is left at a return varies by milliseconds.
	minRecurrence = deadlines / 8
	// deadlinesLife is how long the deadlines count after the last one: the callers or the
	// configuration may have changed.
	deadlinesLife = time.Minute
)

// Ages infers the time since the first attempts of requests from the time that their callers
// state to have left. A caller that states an odd value is taken for one at its first attempt.
// Ages is safe for concurrent use.
type Ages struct {
	mu     sync.Mutex // guards routes
	routes map[string]*routeDeadlines
}

type routeDeadlines struct {
	recent []time.Duration // ring of whole milliseconds
	next   int
	common []time.Duration // deadlines of first attempts, ascending
	at     time.Time       // of the last request
}

// NewAges returns ages without deadlines.
func NewAges() *Ages { return &Ages{routes: map[string]*routeDeadlines{}} }

// Infer returns the time since the first attempt of a caller that states how much time it has left: the
// shortest deadline of first attempts on the route that is not below that, less that. It is
// 0 if the caller states nothing or no such deadline is known, and timeout, that of the
// route, at most if there is one.
func (a *Ages) Infer(now time.Time, route string, stated, timeout time.Duration) time.Duration {
	if stated <= 0 {
		return 0
	}
	stated = stated.Round(time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.routes[route]
	if d == nil || now.Sub(d.at) > deadlinesLife {
		d = &routeDeadlines{}
		a.routes[route] = d
	}
	d.at = now
	d.add(stated)
	return d.age(stated, timeout)
}

// age returns the time since the first attempt of a caller that has the stated time left.
func (d *routeDeadlines) age(stated, timeout time.Duration) time.Duration {
	i, _ := slices.BinarySearch(d.common, stated)
	if i == len(d.common) {
		return 0
	}
	age := d.common[i] - stated
	if timeout > 0 {
		age = min(age, timeout)
	}
	if age < MinRetryAfter { // no hint is that short; the request was delayed on its way
		return 0
	}
	return age
}

func (d *routeDeadlines) add(stated time.Duration) {
	if len(d.recent) < deadlines {
		d.recent = append(d.recent, stated)
	} else {
		d.recent[d.next] = stated
	}
	d.next = (d.next + 1) % deadlines
	if d.next%refreshInterval > 0 {
		return
	}
	d.common = d.common[:0]
	sorted := slices.Sorted(slices.Values(d.recent))
	for i := minRecurrence - 1; i < len(sorted); i++ {
		recurs := sorted[i] == sorted[i-minRecurrence+1]
		if known := len(d.common); recurs && (known == 0 || d.common[known-1] != sorted[i]) {
			d.common = append(d.common, sorted[i])
		}
	}
}
