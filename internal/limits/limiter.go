package limits

import "time"

// sample is one finished request, as a limiter sees it.
type sample struct {
	result   Result
	latency  time.Duration
	inFlight int // permits out when the request finished, itself included
}

// limiter finds a concurrency limit from finished requests. It is owned by its
// gate's lock. The limit stays within 1 and roundTripRoom times the slots.
type limiter interface {
	// limit returns how many requests may be out at once.
	limit() float64
	// observe takes one finished request into account.
	observe(s sample)
	// bound sets the server's slots and how many VMs feed it.
	bound(slots, vms int)
}

// newLimiter returns the limiter that the settings name. It starts at an even
// share of the slots, because a VM that starts at the bound would, together with
// the other VMs that start, send a server many times its slots.
func newLimiter(s Settings, slots, vms int) limiter {
	start := share(slots, vms)
	switch s.Algorithm {
	case AlgorithmStatic:
		return &staticLimiter{vms: vms, slots: slots}
	case AlgorithmGradient:
		return newGradient(start, slots, s.LatencyTolerance)
	default:
		return newAIMD(start, slots, s.Backoff, s.LatencyTolerance)
	}
}

// share returns an even share of the slots, rounded up and at least 1.
func share(slots, vms int) float64 {
	if vms < 1 {
		vms = 1
	}
	part := (slots + vms - 1) / vms
	return float64(max(part, 1))
}

// roundTripRoom bounds the limit in multiples of the slots. A permit covers the
// round trip besides the run: at 1, a VM that feeds a server alone leaves slots
// idle while its answers and next requests travel.
const roundTripRoom = 2

// clamp keeps a limit within 1 and the slots with room for the round trip.
func clamp(limit float64, slots int) float64 {
	return min(max(limit, 1), float64(roundTripRoom*max(slots, 1)))
}

// staticLimiter holds an even share of the slots.
type staticLimiter struct {
	slots int
	vms   int
}

func (l *staticLimiter) limit() float64   { return share(l.slots, l.vms) }
func (l *staticLimiter) observe(_ sample) {}
func (l *staticLimiter) bound(slots, vms int) {
	l.slots = slots
	l.vms = vms
}
