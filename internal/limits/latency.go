package limits

import "time"

// batchSize is the number of latencies averaged before a comparison. Service times
// vary between requests: with smaller batches the lowest batch mean is an outlier,
// and a server without a queue looks slowed down by comparison.
const batchSize = 32

// batchesKept is the number of batches over which the lowest latency is taken. With
// fewer, a lasting queue soon counts as the normal latency. With more, a server that
// became permanently slower looks slowed down for long.
const batchesKept = 64

// smoothing is the weight of a new sample in the mean latency. With a larger weight,
// estimates follow single slow requests.
const smoothing = 0.1

// latencyMeter keeps the moving mean of the latency and the lowest mean of the recent
// batches. Values are in nanoseconds; 0 means no sample yet.
type latencyMeter struct {
	mean    float64
	sum     float64 // of the current batch
	count   int     // in the current batch
	batches [batchesKept]float64
	next    int     // index of the next batch
	floor   float64 // lowest mean of the kept batches
}

// add records one latency and reports whether it completed a batch.
func (m *latencyMeter) add(latency time.Duration) bool {
	value := float64(max(latency, 1))
	if m.mean == 0 {
		m.mean = value
	}
	m.mean += smoothing * (value - m.mean)
	m.sum += value
	m.count++
	if m.count < batchSize {
		return false
	}
	m.batches[m.next] = m.sum / batchSize
	m.next = (m.next + 1) % batchesKept
	m.sum, m.count = 0, 0
	m.floor = m.minBatch()
	return true
}

func (m *latencyMeter) minBatch() float64 {
	lowest := 0.0
	for _, batch := range m.batches {
		if batch > 0 && (lowest == 0 || batch < lowest) {
			lowest = batch
		}
	}
	return lowest
}

// lastBatch returns the mean of the last complete batch.
func (m *latencyMeter) lastBatch() float64 {
	return m.batches[(m.next+batchesKept-1)%batchesKept]
}

// estimate returns the mean latency.
func (m *latencyMeter) estimate() time.Duration { return time.Duration(m.mean) }
