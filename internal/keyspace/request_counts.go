package keyspace

import (
	"math"
	"sort"
	"sync"
	"time"
)

// Requests count less with age, by two clocks at once: the fast one shows within
// a second that keys became busy, the slow one tells small differences of load
// from noise.
const (
	fastDecayTime = 800 * time.Millisecond
	slowDecayTime = 4 * time.Second
)

// count is how many requests a key had lately.
type decayedCount struct {
	fast float64
	slow float64
}

// Weights counts requests by key. Safe for concurrent use.
type RequestCounts struct {
	mu        sync.Mutex // owns the fields below
	counts    map[uint32]decayedCount
	decayedAt time.Duration
	startedAt time.Duration
}

// NewWeights returns counts that begin now.
func NewRequestCounts(now time.Duration) *RequestCounts {
	return &RequestCounts{counts: map[uint32]decayedCount{}, decayedAt: now, startedAt: now}
}

// Add counts requests for a key.
func (w *RequestCounts) Add(key uint32, requests float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts[key]
	w.counts[key] = decayedCount{c.fast + requests, c.slow + requests}
}

// forgotten is the count below which a key is dropped.
const minCount = 0.02

// fade lets older requests count less.
func (w *RequestCounts) decay(now time.Duration) {
	passed := (now - w.decayedAt).Seconds()
	fast, slow := math.Exp(-passed/fastDecayTime.Seconds()), math.Exp(-passed/slowDecayTime.Seconds())
	w.decayedAt = now
	for key, c := range w.counts {
		c = decayedCount{c.fast * fast, c.slow * slow}
		if c.slow < minCount {
			delete(w.counts, key)
		} else {
			w.counts[key] = c
		}
	}
}

// profile is the rate of requests by key at one moment, as prefix sums.
type profile struct {
	sums []float64 // sums[k] is the rate of the keys below k
}

// unseenShare is the part of the load that is spread evenly over all keys: keys
// without requests lately will have some.
const uniformShare = 0.1

// profiles returns the rates of all keys by the fast and by the slow clock, in
// requests a second.
func (w *RequestCounts) profiles(now time.Duration, keys uint32) (fast, slow profile) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.decay(now)
	fast = w.profile(now, keys, fastDecayTime, func(c decayedCount) float64 { return c.fast })
	slow = w.profile(now, keys, slowDecayTime, func(c decayedCount) float64 { return c.slow })
	return fast, slow
}

func (w *RequestCounts) profile(now time.Duration, keys uint32, decayTime time.Duration, of func(decayedCount) float64) profile {
	// The counts are a sum over an exponential window that began at since.
	window := decayTime.Seconds() * (1 - math.Exp(-(now-w.startedAt).Seconds()/decayTime.Seconds()))
	window = max(window, 0.05)
	total := 0.0
	for _, c := range w.counts {
		total += of(c)
	}
	perKey := max(total*uniformShare, 1e-3) / float64(keys) / window
	sums := make([]float64, keys+1)
	for key, c := range w.counts {
		if key < keys {
			sums[key+1] = of(c) * (1 - uniformShare) / window
		}
	}
	for k := uint32(1); k <= keys; k++ {
		sums[k] += sums[k-1] + perKey
	}
	return profile{sums: sums}
}

// load returns the rate of a span.
func (p profile) load(s Span) float64 { return p.sums[s.To+1] - p.sums[s.From] }

// cutAt returns the last key of the shortest prefix of a span that has a load,
// so that at least one key is on either side. A span of one key can't be cut.
func (p profile) cutAt(s Span, load float64) uint32 {
	want := p.sums[s.From] + load
	n := sort.Search(s.Keys(), func(i int) bool { return p.sums[s.From+uint32(i)+1] >= want })
	return min(s.From+uint32(n), s.To-1)
}
