package limits

import "time"

// pacer bounds the deferred requests of one VM at one server. At a server without
// a queue that is deferredPart of the VM's even share of the slots. As the latency rises above that
// of an idle server the share falls in proportion, and each shed request of either
// class halves it, because a server that sheds has no room for requests that can
// wait. A share below one is one request at a time with a pause after each. Without the pauses every VM keeps a
// deferred request at the server, and interactive ones wait behind as many as
// there are VMs in the server's own queue. Its gate's lock owns it.
type pacer struct {
	even     float64 // even share of the slots, in requests at once
	part     float64 // of the even share, from leastPart to 1
	inFlight int
	resumeAt time.Time // no request starts before
}

const (
	// deferredPart is the part of an even share of the slots that deferred requests
	// may use. With all of it, the server's queue is as long as its slots are many
	// whenever interactive requests come in a burst.
	deferredPart = 0.5
	// shedCut is the factor that a shed request cuts the deferred share by. A
	// larger one leaves interactive requests shed along with deferred ones.
	shedCut = 0.5
	// successGain is what a success adds to the part of the even share. A larger
	// one fills the server's short queue again before its sheds are noticed.
	successGain = 0.01
	// leastPart keeps deferred requests going at a server that sheds much. At
	// zero nothing would be learnt once the server has room again.
	leastPart = 1.0 / 64
)

// newPacer returns a pacer at its even share.
func newPacer(slots, vms int) pacer {
	p := pacer{part: 1}
	p.setShare(slots, vms)
	return p
}

// observe takes one finished request of either class into account.
func (p *pacer) observe(result Result) {
	switch result {
	case Shed:
		p.part = max(p.part*shedCut, leastPart)
	case Succeeded:
		p.part = min(p.part+successGain, 1)
	}
}

// setShare sets the even share of the slots.
func (p *pacer) setShare(slots, vms int) {
	p.even = float64(max(slots, 1)) / float64(max(vms, 1))
}

// share returns how many requests may be out at once at the present latency.
func (p *pacer) share(service *latencyMeter) float64 {
	share := deferredPart * p.even * p.part
	if service.floor == 0 || service.mean <= service.floor {
		return share
	}
	return share * service.floor / service.mean
}

// mayStart returns whether one more request may start.
func (p *pacer) mayStart(now time.Time, service *latencyMeter) bool {
	atOnce := max(int(p.share(service)), 1)
	return p.inFlight < atOnce && !now.Before(p.resumeAt)
}

// started notes a request that starts.
func (p *pacer) started() { p.inFlight++ }

// ended notes a request that ended and begins the pause that follows. The pause
// follows the usual latency: one request that timed out must not stop the class
// for long.
func (p *pacer) ended(now time.Time, service *latencyMeter) {
	p.inFlight--
	if share := p.share(service); share < 1 {
		pause := service.mean * (1/share - 1)
		p.resumeAt = now.Add(time.Duration(pause))
	}
}
