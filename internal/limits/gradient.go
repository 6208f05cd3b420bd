package limits

import "math"

// gradient multiplies the limit by the ratio of the lowest latency to the mean and
// adds headroom for a short queue, so that the limit settles where the server's own
// queue is short. A shed or failed request counts as the ratio minRatio.
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

func (l *gradient) resize(slots, _ int) {
	l.slots = slots
	l.current = clamp(l.current, slots)
}

// minRatio bounds how far one sample can lower the limit. With a smaller ratio a
// single slow request can empty the server.
const minRatio = 0.5

func (l *gradient) observe(s sample) {
	ratio := minRatio
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

// headroom returns the share of the queue headroom that a result allows.
func headroom(r Result) float64 {
	if r == Succeeded {
		return 1
	}
	return 0
}

// ratio returns the lowest latency times the tolerance, divided by the mean latency,
// within minRatio and 1.
func (l *gradient) ratio() float64 {
	if l.latency.floor == 0 {
		return 1
	}
	return min(max(l.tolerance*l.latency.floor/l.latency.mean, minRatio), 1)
}
