package retry

import "time"

// NoRetry is a policy that never retries.
type NoRetry struct{}

// Next implements Policy.
func (NoRetry) Next(Attempt) (again bool, wait time.Duration) { return false, 0 }

// Succeeded implements Policy.
func (NoRetry) Succeeded() {}

// Fixed is a policy with a fixed number of attempts at a fixed interval. It does not
// limit the retry load during an outage and serves only as a baseline in tests.
type Fixed struct {
	Attempts int           // maximum number of attempts, including the first
	Wait     time.Duration // before each further attempt
}

// Next implements Policy.
func (f Fixed) Next(a Attempt) (again bool, wait time.Duration) {
	if a.Number >= f.Attempts || !isRetryable(a) || f.Wait >= a.Remaining {
		return false, 0
	}
	return true, f.Wait
}

// Succeeded implements Policy.
func (Fixed) Succeeded() {}
