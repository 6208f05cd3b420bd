package limits

import "time"

// sample is the outcome of one finished request.
type sample struct {
	result   Result
	latency  time.Duration
	inFlight int // permits in use when the request finished, its own included
}

// limiter computes a concurrency limit from finished requests. The gate's lock
// protects it. The limit stays between 1 and roundTripFactor times the slots.
type limiter interface {
	// limit returns how many requests may be in flight.
	limit() float64
	// observe updates the limit from one finished request.
	observe(s sample)
	// resize sets the server's slots and how many VMs send to it.
	resize(slots, vms int)
}

// newLimiter returns the limiter that the settings select. It starts at an even share
// of the slots: if all VMs that start together began at the upper bound, they would
// send a server many times its slots.
func newLimiter(s Settings, slots, vms int) limiter {
	start := evenShare(slots, vms)
	switch s.Algorithm {
	case AlgorithmStatic:
		return &staticLimiter{vms: vms, slots: slots}
	case AlgorithmGradient:
		return newGradient(start, slots, s.LatencyTolerance)
	default:
		return newAIMD(start, slots, s.Backoff, s.LatencyTolerance)
	}
}

// evenShare returns an even share of the slots, rounded up and at least 1.
func evenShare(slots, vms int) float64 {
	if vms < 1 {
		vms = 1
	}
	share := (slots + vms - 1) / vms
	return float64(max(share, 1))
}

// roundTripFactor bounds the limit in multiples of the slots. A permit covers the
// round trip as well as the execution: with 1, a VM that is the only sender to a
// server leaves slots idle while answers and next requests are in transit.
const roundTripFactor = 2

// clamp bounds a limit to between 1 and roundTripFactor times the slots.
func clamp(limit float64, slots int) float64 {
	return min(max(limit, 1), float64(roundTripFactor*max(slots, 1)))
}

// staticLimiter keeps the limit at an even share of the slots.
type staticLimiter struct {
	slots int
	vms   int
}

func (l *staticLimiter) limit() float64   { return evenShare(l.slots, l.vms) }
func (l *staticLimiter) observe(_ sample) {}
func (l *staticLimiter) resize(slots, vms int) {
	l.slots = slots
	l.vms = vms
}
