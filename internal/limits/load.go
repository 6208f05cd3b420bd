package limits

import "time"

// maxFailures bounds how far failures raise a server's load. It must exceed the usual
// load of a healthy server, or a server that refuses everything at once looks idle
// and attracts most requests.
const maxFailures = 32

// recordResult updates the inputs of load and expectedWait.
func (g *serverGate) recordResult(result Result, latency time.Duration) {
	switch result {
	case Succeeded:
		g.latency.add(latency)
		g.failures = 0
	case Shed, Failed:
		g.failures = min(g.failures+1, maxFailures)
	}
}

// load returns the requests in flight and waiting plus one, times the mean latency in
// nanoseconds, times one plus the failures since the last success. It serves only to
// compare servers.
func (g *serverGate) load() float64 {
	mean := g.latency.mean
	if mean == 0 && g.failures > 0 {
		mean = float64(assumedLatency)
	}
	requests := g.inFlight + g.waiting() + 1
	return float64(requests) * mean * float64(1+g.failures)
}

// assumedLatency is the latency assumed for a server that failed and never answered.
// With a value close to that of a healthy server, the server would attract requests.
const assumedLatency = time.Second
