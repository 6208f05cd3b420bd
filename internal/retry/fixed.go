package retry

import "time"

// NoRetry is the policy that never tries again.
type NoRetry struct{}

// Next implements Policy.
func (NoRetry) Next(Attempt) (again bool, wait time.Duration) { return false, 0 }

// Succeeded implements Policy.
func (NoRetry) Succeeded() {}

// Fixed is the policy that tries a fixed number of times at fixed intervals. It
// bounds the load of no outage; it is here to be compared with.
type Fixed struct {
	Attempts int           // most attempts, the first included
	Wait     time.Duration // before each further attempt
}

// Next implements Policy.
func (f Fixed) Next(a Attempt) (again bool, wait time.Duration) {
	if a.Number >= f.Attempts || !mayRepeat(a) || f.Wait >= a.Remaining {
		return false, 0
	}
	return true, f.Wait
}

// Succeeded implements Policy.
func (Fixed) Succeeded() {}
