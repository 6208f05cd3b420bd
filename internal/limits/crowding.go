package limits

import "time"

// crowding tells lasting overload from a short pause of a server. A queue that
// never empties adds delay and no throughput, so under lasting overload requests
// wait briefly or are refused; a short pause is waited out. Its gate's lock owns it.
//
// Overload begins when requests waited for the time after without a break. It
// lasts until none missed the short wait for as long: the short wait often empties
// the queue, and if that ended the overload, the queue would at once grow long
// again.
type crowding struct {
	after time.Duration
	since time.Time // when the queue was last empty
	until time.Time // end of the overload, unless a request misses its wait
}

// queued tells that the queue is no longer empty.
func (c *crowding) queued(now time.Time) { c.since = now }

// holds returns whether the server is overloaded.
func (c *crowding) holds(now time.Time, waiting int) bool {
	if now.Before(c.until) {
		return true
	}
	return waiting > 0 && now.Sub(c.since) >= c.after
}

// missed tells that a request could not be sent within its wait.
func (c *crowding) missed(now time.Time, waiting int) {
	if c.holds(now, waiting) {
		c.until = now.Add(c.after)
	}
}
