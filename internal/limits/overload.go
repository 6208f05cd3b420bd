package limits

import "time"

// overloadDetector distinguishes sustained overload of a server from a short pause.
// A queue that never empties adds delay but no throughput, so under sustained
// overload requests wait briefly or are refused. During a short pause they wait. The
// gate's lock protects it.
//
// Overload begins when the queue has not been empty for threshold. It ends when for
// threshold no request has missed the short wait. An empty queue does not end it: the
// short wait empties the queue often, and the queue would at once grow long again.
type overloadDetector struct {
	threshold       time.Duration
	queuedSince     time.Time // when the queue last became non-empty
	overloadedUntil time.Time // end of the overload unless another request misses its wait
}

// recordQueued records that the queue became non-empty.
func (d *overloadDetector) recordQueued(now time.Time) { d.queuedSince = now }

// overloaded reports whether the server is overloaded.
func (d *overloadDetector) overloaded(now time.Time, waiting int) bool {
	if now.Before(d.overloadedUntil) {
		return true
	}
	return waiting > 0 && now.Sub(d.queuedSince) >= d.threshold
}

// recordMissedWait records that a request could not be sent within its maximum wait.
func (d *overloadDetector) recordMissedWait(now time.Time, waiting int) {
	if d.overloaded(now, waiting) {
		d.overloadedUntil = now.Add(d.threshold)
	}
}
