package limits

import "time"

// mostFailures bounds how far failures raise a server's load. It must stay above
// the usual load of a good server, or a server that refuses everything at once
// looks idle and draws most requests.
const mostFailures = 32

// count keeps what load and expectedWait need.
func (g *gate) count(result Result, latency time.Duration) {
	switch result {
	case Succeeded:
		g.service.add(latency)
		g.failures = 0
	case Shed, Failed:
		g.failures = min(g.failures+1, mostFailures)
	}
}

// load returns the expected time of a new request, in nanoseconds, raised by the
// failures since the last success.
func (g *gate) load() float64 {
	usual := g.service.mean
	if usual == 0 && g.failures > 0 {
		usual = float64(unansweredLatency)
	}
	requests := g.inFlight + g.waiting() + 1
	return float64(requests) * usual * float64(1+g.failures)
}

// unansweredLatency stands for the latency of a server that failed and never
// answered. Near that of a good server, it would draw requests.
const unansweredLatency = time.Second
