package main

import (
	"math"
	"math/rand/v2"
	"time"
)

// Properties of the load.
const (
	requestsPerUnit = 70.0 // requests a second for each unit of capacity
	hotKeys         = 520  // the hottest keys, which other keys replace
	turnover        = 3 * time.Minute
)

// workload is the load of a service's keys over time.
type workload struct {
	rnd    *rand.Rand
	slots  []int     // by key: its slot
	load   []float64 // by key: requests a second
	byRank []int     // by popularity, the hottest first: the key
	trades float64   // due now
}

func newWorkload(s service, skew float64, rnd *rand.Rand) *workload {
	w := &workload{rnd: rnd, slots: make([]int, s.keys), load: make([]float64, s.keys), byRank: rnd.Perm(s.keys)}
	norm := 0.0
	for rank := range s.keys {
		norm += math.Pow(float64(rank+1), -skew)
	}
	total := requestsPerUnit * s.capacity * float64(s.servers)
	for rank, key := range w.byRank {
		w.slots[key] = rnd.IntN(s.slotCount)
		w.load[key] = total * math.Pow(float64(rank+1), -skew) / norm
	}
	return w
}

// step lets some of the hottest keys trade their popularity with cold ones, so
// that after a turnover about all of them have.
func (w *workload) step() {
	for w.trades += hotKeys * planInterval.Seconds() / turnover.Seconds(); w.trades >= 1; w.trades-- {
		hot := w.rnd.IntN(hotKeys)
		cold := hotKeys + w.rnd.IntN(len(w.byRank)-hotKeys)
		a, b := w.byRank[hot], w.byRank[cold]
		w.byRank[hot], w.byRank[cold] = b, a
		w.load[a], w.load[b] = w.load[b], w.load[a]
	}
}

// count returns how many requests of a key come in one plan interval.
func (w *workload) count(key int) float64 {
	expected := w.load[key] * planInterval.Seconds()
	if expected > 30 {
		return max(0, math.Round(expected+math.Sqrt(expected)*w.rnd.NormFloat64()))
	}
	return poisson(w.rnd, expected)
}

// poisson draws from a Poisson distribution with a small mean.
func poisson(rnd *rand.Rand, mean float64) float64 {
	limit, product, n := math.Exp(-mean), 1.0, 0.0
	for {
		product *= rnd.Float64()
		if product <= limit {
			return n
		}
		n++
	}
}
