package limits

import "math"

// gradient multiplies the limit by the ratio of the least latency to the mean
// and adds room for a short queue, so that it settles where the server's own
// queue is short. A shed or lost request halves the ratio.
type gradient struct {
	current   float64
	slots     int
	tolerance float64
	latency   latencyMeter
}

func newGradient(start float64, slots int, tolerance float64) *gradient {
	return &gradient{current: clamp(start, slots), slots: slots, tolerance: tolerance}
}

func (l *gradient) limit() float64 { return l.current }

func (l *gradient) bound(slots, _ int) {
	l.slots = slots
	l.current = clamp(l.current, slots)
}

// leastRatio bounds how far one sample can cut the limit. A smaller ratio lets a
// single slow request empty the server.
const leastRatio = 0.5

func (l *gradient) observe(s sample) {
	ratio := leastRatio
	switch s.result {
	case Ignored:
		return
	case Succeeded:
		l.latency.add(s.latency)
		ratio = l.ratio()
	}
	if ratio == 1 && float64(s.inFlight) < l.current-1 {
		return
	}
	target := l.current*ratio + math.Sqrt(l.current)*headroom(s.result)
	l.current = clamp(l.current+smoothing*(target-l.current), l.slots)
}

// headroom is the share of the usual queue room that a result leaves.
func headroom(r Result) float64 {
	if r == Succeeded {
		return 1
	}
	return 0
}

// ratio returns how far the least mean latency, with its tolerance, is below the
// present one; 1 when it is not.
func (l *gradient) ratio() float64 {
	if l.latency.floor == 0 {
		return 1
	}
	return min(max(l.tolerance*l.latency.floor/l.latency.mean, leastRatio), 1)
}
