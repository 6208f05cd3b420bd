package main

import "slices"

// figures are what one way came to.
type figures struct {
	imbalances []float64 // by step and group: max/mean of load per capacity
	forced     float64   // slots that left a server which may own nothing, as a share
	free       float64   // other slots moved, as a share of the group's slots
	minutes    float64   // group minutes in which they were moved
}

func (f *figures) merge(o figures) {
	f.imbalances = append(f.imbalances, o.imbalances...)
	f.forced += o.forced
	f.free += o.free
	f.minutes += o.minutes
}

// result is the outcome of one way on one service.
type result struct {
	service service
	skew    float64
	way     string
	figures figures
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
