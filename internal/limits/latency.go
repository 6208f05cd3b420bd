package limits

import "time"

// leastWindow is how many samples the least latency looks back over. With fewer
// samples a queue that lasts is soon taken for the normal latency; with more, a
// server that became slower for good is taken for a crowded one for long.
const leastWindow = 512

// smoothing is the weight of a new sample in the mean latency. A larger weight
// makes the limit follow single slow requests.
const smoothing = 0.1

// latencyMeter keeps the mean latency and the least of one to two windows.
type latencyMeter struct {
	mean     float64 // nanoseconds; 0 before the first sample
	least    float64 // least of the present window; 0: none yet
	previous float64 // least of the window before it; 0: none yet
	count    int     // samples in the present window
}

// add takes one latency in.
func (m *latencyMeter) add(latency time.Duration) {
	value := float64(max(latency, 1))
	if m.mean == 0 {
		m.mean = value
	}
	m.mean += smoothing * (value - m.mean)
	if m.least == 0 || value < m.least {
		m.least = value
	}
	m.count++
	if m.count == leastWindow {
		m.previous = m.least
		m.least = 0
		m.count = 0
	}
}

// floor returns the least latency in nanoseconds, or 0 before the first sample.
func (m *latencyMeter) floor() float64 {
	if m.least == 0 {
		return m.previous
	}
	if m.previous == 0 {
		return m.least
	}
	return min(m.least, m.previous)
}

// estimate returns the mean latency.
func (m *latencyMeter) estimate() time.Duration { return time.Duration(m.mean) }
