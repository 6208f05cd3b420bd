package limits

import (
	"container/heap"
	"time"

	"kumquatcleat/internal/config"
)

// waiter is one request that waits for a permit. The gate's lock protects it.
type waiter struct {
	class    config.Class
	arrived  time.Time
	deadline time.Time
	seq      uint64 // order of arrival at the gate
	index    int    // in the queue; notQueued once removed
	// onDecision is called once, with the gate's lock held, and must not block. The
	// argument is nil when the waiter was granted a permit, else the refusal.
	onDecision func(error)
}

const notQueued = -1

// queue orders waiters by deadline and, at equal deadlines, by arrival. Callers with
// the same timeout are thus served in order of arrival, and a caller with a shorter
// timeout is served before one that can wait. It implements heap.Interface.
type queue []*waiter

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if !q[i].deadline.Equal(q[j].deadline) {
		return q[i].deadline.Before(q[j].deadline)
	}
	return q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := len(old) - 1
	w := old[last]
	old[last] = nil
	*q = old[:last]
	w.index = notQueued
	return w
}

func (q *queue) add(w *waiter)     { heap.Push(q, w) }
func (q *queue) popFirst() *waiter { return heap.Pop(q).(*waiter) }
func (q *queue) remove(w *waiter)  { heap.Remove(q, w.index) }
