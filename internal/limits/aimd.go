package limits

// raiseStep is how far one limit's worth of successes raises the limit. A larger
// step fills a server's short queue again at once, and requests are shed there
// that could have waited at the VM; a smaller one recovers late after a cut.
const raiseStep = 0.2

// aimd raises the limit by raiseStep for each limit's worth of successes and cuts
// it by a factor when a request is shed or lost, or when a batch of requests is
// late. Requests that left before a cut say nothing new of the limit after it, so
// after a cut it ignores as many bad results as requests were out.
type aimd struct {
	current   float64
	slots     int
	backoff   float64
	tolerance float64
	latency   latencyMeter
	ignore    int // bad results still to come from before the last cut
}

func newAIMD(start float64, slots int, backoff, tolerance float64) *aimd {
	return &aimd{current: clamp(start, slots), slots: slots, backoff: backoff, tolerance: tolerance}
}

func (l *aimd) limit() float64 { return l.current }

func (l *aimd) bound(slots, _ int) {
	l.slots = slots
	l.current = clamp(l.current, slots)
}

func (l *aimd) observe(s sample) {
	switch s.result {
	case Succeeded:
		whole := l.latency.add(s.latency)
		if whole && l.latency.last() > l.tolerance*l.latency.floor {
			l.cut(s.inFlight)
			return
		}
		l.raise(s.inFlight)
	case Shed, Failed:
		l.cut(s.inFlight)
	}
}

// raise grows the limit only while it is used: an idle VM learns nothing.
func (l *aimd) raise(inFlight int) {
	if l.ignore > 0 {
		l.ignore--
	}
	if float64(inFlight) < l.current-1 {
		return
	}
	l.current = clamp(l.current+raiseStep/l.current, l.slots)
}

func (l *aimd) cut(inFlight int) {
	if l.ignore > 0 {
		l.ignore--
		return
	}
	l.current = clamp(l.current*l.backoff, l.slots)
	l.ignore = inFlight - 1
}
