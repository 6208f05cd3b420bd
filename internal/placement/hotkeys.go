package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

// HotKey is one key that a HotKeys sketch holds. The key's true count lies
// between Count-Error and Count.
type HotKey struct {
	Key   string
	Count float64
	Error float64
}

// HotKeys counts the heaviest keys of a stream in bounded memory, with the
// space-saving algorithm: a key that is not held takes the place of the key with
// the lowest count and inherits that count as its possible error. Every key
// whose count exceeds the stream's total divided by the capacity is held.
//
// A HotKeys is owned by one goroutine.
type HotKeys struct {
	capacity int
	counters counterHeap
	byKey    map[string]*counter
	missed   float64 // the most that a key which is not held may have counted
}

// NewHotKeys returns an empty sketch that holds up to capacity keys, at least 1.
func NewHotKeys(capacity int) *HotKeys {
	return &HotKeys{capacity: max(1, capacity), byKey: map[string]*counter{}}
}

// Add counts n more for a key.
func (h *HotKeys) Add(key string, n float64) {
	c := h.byKey[key]
	switch {
	case c != nil:
		c.Count += n
		heap.Fix(&h.counters, c.at)
	case len(h.counters) < h.capacity:
		h.hold(HotKey{Key: key, Count: h.missed + n, Error: h.missed})
	default:
		h.replaceLowest(key, n)
	}
}

func (h *HotKeys) replaceLowest(key string, n float64) {
	c := h.counters[0]
	delete(h.byKey, c.Key)
	h.missed = max(h.missed, c.Count)
	c.HotKey = HotKey{Key: key, Count: c.Count + n, Error: c.Count}
	h.byKey[key] = c
	heap.Fix(&h.counters, 0)
}

// Decay multiplies all counts by a factor from 0 to 1. Called at a fixed
// interval, it makes the counts an exponentially weighted sum over time.
func (h *HotKeys) Decay(factor float64) {
	for _, c := range h.counters {
		c.Count *= factor
		c.Error *= factor
	}
	h.missed *= factor
	heap.Init(&h.counters)
}

// Top returns the keys held, the heaviest first; equal counts by key.
func (h *HotKeys) Top() []HotKey {
	top := make([]HotKey, 0, len(h.counters))
	for _, c := range h.counters {
		top = append(top, c.HotKey)
	}
	sortHotKeys(top)
	return top
}

// Merge adds the counts of another sketch, whose bounds then hold for both
// streams together. other is not changed.
func (h *HotKeys) Merge(other *HotKeys) {
	merged := make([]HotKey, 0, len(h.counters)+len(other.counters))
	for _, c := range h.counters {
		merged = append(merged, sum(c.HotKey, other.byKey[c.Key], other.missed))
	}
	for _, c := range other.counters {
		if h.byKey[c.Key] == nil {
			merged = append(merged, sum(c.HotKey, nil, h.missed))
		}
	}
	sortHotKeys(merged)
	h.reset(merged, h.missed+other.missed)
}

// sum adds the counter of a key in another sketch; a sketch that lacks the key
// may have counted up to what it missed for it.
func sum(key HotKey, other *counter, missed float64) HotKey {
	if other == nil {
		key.Count += missed
		key.Error += missed
		return key
	}
	key.Count += other.Count
	key.Error += other.Error
	return key
}

// reset holds the heaviest of the keys, which are sorted.
func (h *HotKeys) reset(keys []HotKey, missed float64) {
	h.counters = nil
	clear(h.byKey)
	for i, key := range keys {
		if i >= h.capacity {
			missed = max(missed, key.Count)
			break
		}
		h.hold(key)
	}
	h.missed = missed
}

func (h *HotKeys) hold(key HotKey) {
	c := &counter{HotKey: key}
	h.byKey[key.Key] = c
	heap.Push(&h.counters, c)
}

func sortHotKeys(keys []HotKey) {
	slices.SortFunc(keys, func(a, b HotKey) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
}

// counter is a HotKey with its place in the heap.
type counter struct {
	HotKey
	at int
}

// counterHeap is a heap.Interface with the lowest count first.
type counterHeap []*counter

func (h counterHeap) Len() int { return len(h) }

func (h counterHeap) Less(i, j int) bool {
	if h[i].Count != h[j].Count {
		return h[i].Count < h[j].Count
	}
	return h[i].Key < h[j].Key
}

func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

// Push implements heap.Interface.
func (h *counterHeap) Push(x any) {
	c := x.(*counter)
	c.at = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *counterHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}
