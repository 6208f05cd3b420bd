package limits

// raiseStep is how much the limit grows after as many successes as the limit. A larger
// step refills a server's short queue at once, and the server sheds requests that could
// have waited at the VM. A smaller step recovers slowly after a decrease.
const raiseStep = 0.2

// aimd is a limiter with additive increase and multiplicative decrease. It raises the
// limit by raiseStep after as many successes as the limit and multiplies it by backoff
// when a request is shed or fails, or when the mean latency of a batch exceeds the
// tolerance. Requests sent before a decrease carry no information about the new limit,
// so aimd then ignores the failures among as many results as requests were in flight.
type aimd struct {
	current   float64
	slots     int
	backoff   float64
	tolerance float64
	latency   latencyMeter
	// earlierInFlight estimates how many requests sent before the last decrease are
	// still in flight; their failures are ignored.
	earlierInFlight int
}

func newAIMD(start float64, slots int, backoff, tolerance float64) *aimd {
	return &aimd{current: clamp(start, slots), slots: slots, backoff: backoff, tolerance: tolerance}
}

func (l *aimd) limit() float64 { return l.current }

func (l *aimd) resize(slots, _ int) {
	l.slots = slots
	l.current = clamp(l.current, slots)
}

func (l *aimd) observe(s sample) {
	switch s.result {
	case Succeeded:
		batchDone := l.latency.add(s.latency)
		if batchDone && l.latency.lastBatch() > l.tolerance*l.latency.floor {
			l.decrease(s.inFlight)
			return
		}
		l.increase(s.inFlight)
	case Shed, Failed:
		l.decrease(s.inFlight)
	}
}

// increase raises the limit only while it is in use: an idle VM learns nothing.
func (l *aimd) increase(inFlight int) {
	if l.earlierInFlight > 0 {
		l.earlierInFlight--
	}
	if float64(inFlight) < l.current-1 {
		return
	}
	l.current = clamp(l.current+raiseStep/l.current, l.slots)
}

func (l *aimd) decrease(inFlight int) {
	if l.earlierInFlight > 0 {
		l.earlierInFlight--
		return
	}
	l.current = clamp(l.current*l.backoff, l.slots)
	l.earlierInFlight = inFlight - 1
}
