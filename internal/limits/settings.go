package limits

import (
	"fmt"
	"time"

	"kumquatcleat/internal/config"
)

// Algorithm selects how the concurrency limit of a server is computed.
type Algorithm string

const (
	// AlgorithmStatic divides the server's slots evenly among the VMs.
	AlgorithmStatic Algorithm = "static"
	// AlgorithmAIMD increases the limit additively and decreases it multiplicatively.
	AlgorithmAIMD Algorithm = "aimd"
	// AlgorithmGradient follows the ratio of the lowest latency to the mean latency.
	AlgorithmGradient Algorithm = "gradient"
)

// Settings configure the limits that one VM applies to every server.
type Settings struct {
	// Algorithm computes the concurrency limit of each server: "static", "aimd" or
	// "gradient". Default "aimd".
	Algorithm Algorithm `json:"algorithm"`
	// QueueLength is how many interactive requests may wait for one server at
	// this VM. Default 64, at least 1.
	QueueLength int `json:"queue_length"`
	// DeferredQueueLength is how many deferred requests may wait for one server
	// at this VM. Default 256, at least 1.
	DeferredQueueLength int `json:"deferred_queue_length"`
	// QueueWait is the longest wait of an interactive request, in milliseconds. An
	// earlier deadline of the caller takes precedence. Default 500, at least 1.
	QueueWait config.Milliseconds `json:"queue_wait_ms"`
	// CrowdedAfter is how long interactive requests must have been queued for a
	// server without interruption before it counts as overloaded, in milliseconds.
	// Default 1000, at least 1.
	CrowdedAfter config.Milliseconds `json:"crowded_after_ms"`
	// CrowdedWait is the longest wait of an interactive request for an overloaded
	// server, in milliseconds. Twice the server's latency without a queue takes
	// precedence where that is longer. Default 10, at least 1.
	CrowdedWait config.Milliseconds `json:"crowded_wait_ms"`
	// DeferredQueueWait is the longest wait of a deferred request, in
	// milliseconds. Default 30000, at least 1.
	DeferredQueueWait config.Milliseconds `json:"deferred_queue_wait_ms"`
	// Backoff is the factor by which a shed or failed request reduces the limit.
	// Default 0.7, above 0 and below 1.
	Backoff float64 `json:"backoff"`
	// LatencyTolerance is the ratio of current to lowest latency above which the limit
	// is lowered. Default 2, at least 1.
	LatencyTolerance float64 `json:"latency_tolerance"`
}

// DefaultSettings returns the documented default of each field.
func DefaultSettings() Settings {
	return Settings{
		Algorithm:           AlgorithmAIMD,
		QueueLength:         64,
		DeferredQueueLength: 256,
		QueueWait:           500,
		CrowdedAfter:        1000,
		CrowdedWait:         10,
		DeferredQueueWait:   30000,
		Backoff:             0.7,
		LatencyTolerance:    2,
	}
}

// Validate returns an error with the name, the value and the allowed range of the
// first field that is out of range.
func (s Settings) Validate() error {
	switch s.Algorithm {
	case AlgorithmStatic, AlgorithmAIMD, AlgorithmGradient:
	default:
		return fmt.Errorf("algorithm: %q is not allowed; want static, aimd or gradient", s.Algorithm)
	}
	if s.QueueLength < 1 {
		return fmt.Errorf("queue_length: %d is not allowed; want at least 1", s.QueueLength)
	}
	if s.DeferredQueueLength < 1 {
		return fmt.Errorf("deferred_queue_length: %d is not allowed; want at least 1", s.DeferredQueueLength)
	}
	if s.QueueWait < 1 {
		return fmt.Errorf("queue_wait_ms: %d is not allowed; want at least 1", s.QueueWait)
	}
	if s.CrowdedAfter < 1 {
		return fmt.Errorf("crowded_after_ms: %d is not allowed; want at least 1", s.CrowdedAfter)
	}
	if s.CrowdedWait < 1 {
		return fmt.Errorf("crowded_wait_ms: %d is not allowed; want at least 1", s.CrowdedWait)
	}
	if s.DeferredQueueWait < 1 {
		return fmt.Errorf("deferred_queue_wait_ms: %d is not allowed; want at least 1", s.DeferredQueueWait)
	}
	if !(s.Backoff > 0 && s.Backoff < 1) {
		return fmt.Errorf("backoff: %g is not allowed; want above 0 and below 1", s.Backoff)
	}
	if !(s.LatencyTolerance >= 1) {
		return fmt.Errorf("latency_tolerance: %g is not allowed; want at least 1", s.LatencyTolerance)
	}
	return nil
}

// queueLength returns how many requests of a class may be queued.
func (s Settings) queueLength(class config.Class) int {
	if class == config.ClassDeferred {
		return s.DeferredQueueLength
	}
	return s.QueueLength
}

// queueWait returns the longest wait of a request of a class.
func (s Settings) queueWait(class config.Class) time.Duration {
	if class == config.ClassDeferred {
		return s.DeferredQueueWait.Duration()
	}
	return s.QueueWait.Duration()
}
