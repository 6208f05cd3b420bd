package keyspace

import (
	"math"
	"sort"
	"sync"
	"time"
)

// Request counts decay with two time constants. The fast one shows within a second
// that keys became busy; the slow one distinguishes small differences in load from
// noise.
const (
	fastDecayTime = 800 * time.Millisecond
	slowDecayTime = 4 * time.Second
)

// decayedCount holds the decayed request counts of a key.
type decayedCount struct {
	fast float64
	slow float64
}

// RequestCounts counts requests by key. It is safe for concurrent use.
type RequestCounts struct {
	mu        sync.Mutex // guards the fields below
	counts    map[uint32]decayedCount
	decayedAt time.Duration
	startedAt time.Duration
}

// NewRequestCounts returns empty counts that start now.
func NewRequestCounts(now time.Duration) *RequestCounts {
	return &RequestCounts{counts: map[uint32]decayedCount{}, decayedAt: now, startedAt: now}
}

// Add counts requests for a key, as of now.
func (w *RequestCounts) Add(now time.Duration, key uint32, requests float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The next decay reduces all counts by the time since the last one.
	since := (now - w.decayedAt).Seconds()
	c := w.counts[key]
	c.fast += requests * math.Exp(since/fastDecayTime.Seconds())
	c.slow += requests * math.Exp(since/slowDecayTime.Seconds())
	w.counts[key] = c
}

// minCount is the count below which a key is dropped.
const minCount = 0.02

// decay reduces the counts by the time since the last call.
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

// ownerRates returns the fast rates of the requests for the keys of each owner, in requests
// per second, each request counted by its work relative to others. It costs less than a profile of
// all keys.
func (w *RequestCounts) ownerRates(now time.Duration, record *Record, work func(key uint32) float64) map[Holder]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.decay(now)
	window := w.window(now, fastDecayTime)
	rates := map[Holder]float64{}
	for key, c := range w.counts {
		if r := record.rangeOf(key); r != nil {
			rates[r.Owner] += work(key) * c.fast / window
		}
	}
	return rates
}

// window returns the length of time in seconds that counts cover: they are sums over an
// exponential window that started at startedAt.
func (w *RequestCounts) window(now, decayTime time.Duration) float64 {
	return max(decayTime.Seconds()*(1-math.Exp(-(now-w.startedAt).Seconds()/decayTime.Seconds())), minWindow)
}

// minWindow is the shortest length of time, in seconds, that counts are taken to cover.
const minWindow = 0.05

// profile holds the request rate by key at one moment, as prefix sums.
type profile struct {
	sums []float64 // sums[k] is the total rate of the keys below k
}

// uniformShare is the share of the load that is spread evenly over all keys: keys
// without recent requests will get some.
const uniformShare = 0.1

// profiles returns the rates of all keys by the fast and by the slow decay, in
// requests per second.
func (w *RequestCounts) profiles(now time.Duration, keys uint32) (fast, slow profile) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.decay(now)
	fast = w.profile(now, keys, fastDecayTime, func(c decayedCount) float64 { return c.fast })
	slow = w.profile(now, keys, slowDecayTime, func(c decayedCount) float64 { return c.slow })
	return fast, slow
}

func (w *RequestCounts) profile(now time.Duration, keys uint32, decayTime time.Duration, of func(decayedCount) float64) profile {
	window := w.window(now, decayTime)
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

// load returns the request rate of a span.
func (p profile) load(s Span) float64 { return p.sums[s.To+1] - p.sums[s.From] }

// cutAt returns the last key of the shortest prefix of a span that has at least the
// given load, leaving at least one key on either side of the cut. A span of one key
// cannot be cut.
func (p profile) cutAt(s Span, load float64) uint32 {
	want := p.sums[s.From] + load
	n := sort.Search(s.Keys(), func(i int) bool { return p.sums[s.From+uint32(i)+1] >= want })
	return min(s.From+uint32(n), s.To-1)
}
