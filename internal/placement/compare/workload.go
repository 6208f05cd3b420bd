package main

import (
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of the load.
const (
	requestsPerUnit = 70.0            // requests per second per unit of capacity
	hotKeys         = 520             // number of hottest keys that cold keys replace over time
	turnover        = 3 * time.Minute // time for about all hot keys to be replaced
)

// workload is the load of a service's keys over time.
type workload struct {
	rnd    *rand.Rand
	slots  []int     // by key: its slot
	load   []float64 // by key: requests per second
	byRank []int     // keys by descending popularity
	swaps  float64   // number of swaps due
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

// step swaps the popularity of some of the hottest keys with that of cold keys, so
// that about all of them are replaced once per turnover.
func (w *workload) step() {
	for w.swaps += hotKeys * planInterval.Seconds() / turnover.Seconds(); w.swaps >= 1; w.swaps-- {
		hot := w.rnd.IntN(hotKeys)
		cold := hotKeys + w.rnd.IntN(len(w.byRank)-hotKeys)
		a, b := w.byRank[hot], w.byRank[cold]
		w.byRank[hot], w.byRank[cold] = b, a
		w.load[a], w.load[b] = w.load[b], w.load[a]
	}
}

// count draws the number of requests for a key in one plan interval.
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
