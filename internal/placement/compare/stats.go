package main

import "slices"

// stats holds the results of one algorithm.
type stats struct {
	imbalances   []float64 // by step and group: max/mean of load per capacity
	forcedMoves  float64   // moves off servers that may not own slots, as a share of the group's slots
	balanceMoves float64   // other moves, as a share of the group's slots
	groupMinutes float64   // simulated time over which moves were counted, summed over groups
}

func (s *stats) merge(other stats) {
	s.imbalances = append(s.imbalances, other.imbalances...)
	s.forcedMoves += other.forcedMoves
	s.balanceMoves += other.balanceMoves
	s.groupMinutes += other.groupMinutes
}

// result holds the stats of one algorithm on one service.
type result struct {
	service   service
	skew      float64
	algorithm string
	stats     stats
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
