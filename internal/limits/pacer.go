package limits

import "time"

// pacer bounds the deferred requests of one VM at one server. At a server without a
// queue the bound is a fixed fraction (deferredFraction) of the VM's even share of the
// slots. As the latency rises above that of a server without a queue, the bound falls in
// proportion. Each shed request of either class halves it, because a server that sheds
// has no room for requests that can wait. A bound below one means one request at a time
// with a pause after each. Without the pauses every VM keeps a deferred request at the
// server, and interactive requests wait in the server's own queue behind as many requests
// as there are VMs. The gate's lock protects it.
type pacer struct {
	slotsPerVM float64 // the VM's even share of the slots
	fraction   float64 // reduction for shed requests, from minFraction to 1
	inFlight   int
	resumeAt   time.Time // no request starts earlier
}

const (
	// deferredFraction is the fraction of an even share of the slots that deferred
	// requests may use. At 1, the server's queue grows as long as its number of slots
	// whenever interactive requests arrive in a burst.
	deferredFraction = 0.5
	// shedBackoff is the factor by which a shed request reduces the pacer's fraction.
	// With a larger factor, interactive requests are shed along with deferred ones.
	shedBackoff = 0.5
	// successIncrease is what a success adds to the fraction. With a larger step, the
	// server's short queue fills again before its sheds are noticed.
	successIncrease = 0.01
	// minFraction keeps some deferred requests going to a server that sheds many. At
	// zero the pacer would not notice that the server has room again.
	minFraction = 1.0 / 64
)

// newPacer returns a pacer that starts without a reduction for shed requests.
func newPacer(slots, vms int) pacer {
	p := pacer{fraction: 1}
	p.setSlotsPerVM(slots, vms)
	return p
}

// observe updates the pacer from one finished request of either class.
func (p *pacer) observe(result Result) {
	switch result {
	case Shed:
		p.fraction = max(p.fraction*shedBackoff, minFraction)
	case Succeeded:
		p.fraction = min(p.fraction+successIncrease, 1)
	}
}

// setSlotsPerVM sets the VM's even share of the slots.
func (p *pacer) setSlotsPerVM(slots, vms int) {
	p.slotsPerVM = float64(max(slots, 1)) / float64(max(vms, 1))
}

// bound returns how many requests may be in flight at the current latency.
func (p *pacer) bound(latency *latencyMeter) float64 {
	bound := deferredFraction * p.slotsPerVM * p.fraction
	if latency.floor == 0 || latency.mean <= latency.floor {
		return bound
	}
	return bound * latency.floor / latency.mean
}

// mayStart reports whether one more request may start.
func (p *pacer) mayStart(now time.Time, latency *latencyMeter) bool {
	concurrency := max(int(p.bound(latency)), 1)
	return p.inFlight < concurrency && !now.Before(p.resumeAt)
}

// started records the start of a request.
func (p *pacer) started() { p.inFlight++ }

// finished records the end of a request and starts the pause that follows. The length
// of the pause follows the mean latency: one request that timed out must not stop the
// class for long.
func (p *pacer) finished(now time.Time, latency *latencyMeter) {
	p.inFlight--
	if bound := p.bound(latency); bound < 1 {
		pause := latency.mean * (1/bound - 1)
		p.resumeAt = now.Add(time.Duration(pause))
	}
}
