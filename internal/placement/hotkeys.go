package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

// HotKey is one key tracked by a HotKeys sketch. The key's true count lies
// between Count-Error and Count.
type HotKey struct {
	Key   string
	Count float64
	Error float64
}

// HotKeys finds the most frequent keys of a stream in bounded memory. It
// implements the Space-Saving algorithm: once the sketch is full, a new key
// replaces the tracked key with the lowest count and inherits that count as its
// maximum error. Every key whose count exceeds the stream's total divided by the
// capacity is tracked.
//
// HotKeys is not safe for concurrent use.
type HotKeys struct {
	capacity     int
	counters     counterHeap
	byKey        map[string]*counter
	maxUntracked float64 // upper bound on the true count of any untracked key
}

// NewHotKeys returns an empty sketch that tracks up to capacity keys. A capacity
// below 1 counts as 1.
func NewHotKeys(capacity int) *HotKeys {
	return &HotKeys{capacity: max(1, capacity), byKey: map[string]*counter{}}
}

// Add adds n to the count of key.
func (h *HotKeys) Add(key string, n float64) {
	c := h.byKey[key]
	switch {
	case c != nil:
		c.Count += n
		heap.Fix(&h.counters, c.index)
	case len(h.counters) < h.capacity:
		h.insert(HotKey{Key: key, Count: h.maxUntracked + n, Error: h.maxUntracked})
	default:
		h.replaceLowest(key, n)
	}
}

func (h *HotKeys) replaceLowest(key string, n float64) {
	c := h.counters[0]
	delete(h.byKey, c.Key)
	h.maxUntracked = max(h.maxUntracked, c.Count)
	c.HotKey = HotKey{Key: key, Count: c.Count + n, Error: c.Count}
	h.byKey[key] = c
	heap.Fix(&h.counters, 0)
}

// Decay multiplies all counts by factor, which is between 0 and 1. Called at a
// fixed interval, it turns the counts into exponentially weighted sums over time.
func (h *HotKeys) Decay(factor float64) {
	for _, c := range h.counters {
		c.Count *= factor
		c.Error *= factor
	}
	h.maxUntracked *= factor
	heap.Init(&h.counters)
}

// Top returns the tracked keys by descending count. Ties are in ascending order
// of the key.
func (h *HotKeys) Top() []HotKey {
	top := make([]HotKey, 0, len(h.counters))
	for _, c := range h.counters {
		top = append(top, c.HotKey)
	}
	sortHotKeys(top)
	return top
}

// Merge adds the counts of other to h. The error bounds of h then hold for both
// streams together. Merge does not modify other.
func (h *HotKeys) Merge(other *HotKeys) {
	merged := make([]HotKey, 0, len(h.counters)+len(other.counters))
	for _, c := range h.counters {
		merged = append(merged, addCounts(c.HotKey, other.byKey[c.Key], other.maxUntracked))
	}
	for _, c := range other.counters {
		if h.byKey[c.Key] == nil {
			merged = append(merged, addCounts(c.HotKey, nil, h.maxUntracked))
		}
	}
	sortHotKeys(merged)
	h.reset(merged, h.maxUntracked+other.maxUntracked)
}

// addCounts returns key with another sketch's counts for it added. other is nil
// if that sketch does not track the key; its count there is then at most
// maxUntracked.
func addCounts(key HotKey, other *counter, maxUntracked float64) HotKey {
	if other == nil {
		key.Count += maxUntracked
		key.Error += maxUntracked
		return key
	}
	key.Count += other.Count
	key.Error += other.Error
	return key
}

// reset replaces the tracked keys with the first of keys, up to the capacity. keys must
// be sorted by descending count.
func (h *HotKeys) reset(keys []HotKey, maxUntracked float64) {
	h.counters = nil
	clear(h.byKey)
	for i, key := range keys {
		if i >= h.capacity {
			maxUntracked = max(maxUntracked, key.Count)
			break
		}
		h.insert(key)
	}
	h.maxUntracked = maxUntracked
}

func (h *HotKeys) insert(key HotKey) {
	c := &counter{HotKey: key}
	h.byKey[key.Key] = c
	heap.Push(&h.counters, c)
}

func sortHotKeys(keys []HotKey) {
	slices.SortFunc(keys, func(a, b HotKey) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
}

// counter is a HotKey and its index in the heap.
type counter struct {
	HotKey
	index int
}

// counterHeap implements heap.Interface with the lowest count at the root.
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
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *counterHeap) Push(x any) {
	c := x.(*counter)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *counterHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}
