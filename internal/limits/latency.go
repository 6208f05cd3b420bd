package limits

import "time"

// batchSize is how many latencies are averaged before they are compared. Service
// times vary from request to request: with a smaller batch, the least batch is a
// lucky one and a server without a queue looks crowded next to it.
const batchSize = 32

// batchesKept is how many batches the least latency looks back over. With fewer, a
// queue that lasts is soon taken for the normal latency; with more, a server that
// became slower for good is taken for a crowded one for long.
const batchesKept = 64

// smoothing is the weight of a new sample in the mean latency. A larger weight
// makes estimates follow single slow requests.
const smoothing = 0.1

// latencyMeter keeps the mean latency and the least mean of the last batches.
// Its values are in nanoseconds; 0 stands for none yet.
type latencyMeter struct {
	mean    float64
	sum     float64 // of the present batch
	count   int     // in the present batch
	batches [batchesKept]float64
	next    int // place of the next batch
	floor   float64
}

// add takes one latency in and returns true when it completed a batch.
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
	m.floor = m.least()
	return true
}

func (m *latencyMeter) least() float64 {
	least := 0.0
	for _, batch := range m.batches {
		if batch > 0 && (least == 0 || batch < least) {
			least = batch
		}
	}
	return least
}

// last returns the mean of the last whole batch.
func (m *latencyMeter) last() float64 {
	return m.batches[(m.next+batchesKept-1)%batchesKept]
}

// estimate returns the mean latency.
func (m *latencyMeter) estimate() time.Duration { return time.Duration(m.mean) }
