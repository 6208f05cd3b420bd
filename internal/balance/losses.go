package balance

import (
	"math"
	"time"

	"kumquatcleat/internal/registry"
)

// Losses and penalties. A loss of 1 is the worth of an answer that arrives in time.
const (
	// failureDecay is the time constant with which the failure rate decays: it falls to
	// about a third in this time, so that a server that gets no requests is tried again.
	failureDecay   = 2 * time.Second
	fullPenalty    = 60.0 // ranks a full server behind all that are not full
	pausedPenalty  = 30.0 // ranks an unreachable server behind all reachable ones that are not full
	minFailureRate = 0.02 // a lower failure rate is ignored
	failureLoss    = 0.7  // of a failed attempt; some are retried in time
	lateLoss       = 0.7  // of an answer after its objective; a late answer is worth 0.3
	// latencyLoss prefers the faster of two servers that both answer in time.
	latencyLoss = 0.05
	// latencySpread is the standard deviation of the logarithm of the latency. It is
	// between 0.5 and 0.8 for typical workloads.
	latencySpread = 0.6
)

// loss returns the expected loss of a request at a server, apart from where the server is.
func (b *Balancer) loss(now time.Time, c Choice, objective time.Duration) float64 {
	loss := expectedLatenessLoss(c.Expected, objective) + b.expectedFailureLoss(now, c.Server)
	if !b.connected(c.Server) {
		loss += newConnectionCost
	}
	if c.Full {
		loss += fullPenalty
	}
	return loss
}

// connected reports whether there is an idle connection to a server, or that is unknown.
func (b *Balancer) connected(s *registry.Server) bool {
	return b.settings.HasIdleConnection == nil || b.settings.HasIdleConnection(s)
}

// expectedLatenessLoss returns the expected loss through lateness, for a latency with a
// log-normal distribution around its mean.
func expectedLatenessLoss(mean, objective time.Duration) float64 {
	if objective <= 0 {
		objective = defaultObjective
	}
	ratio := mean.Seconds() / objective.Seconds()
	if ratio <= 0 {
		return 0
	}
	// In logarithms, the median is below the mean by half of the variance.
	deviation := (math.Log(ratio) - latencySpread*latencySpread/2) / latencySpread
	late := math.Erfc(-deviation/math.Sqrt2) / 2
	return lateLoss*late + latencyLoss*ratio
}

// defaultObjective is used for routes without an objective.
const defaultObjective = 500 * time.Millisecond

// expectedFailureLoss returns the expected loss through failures of a server.
func (b *Balancer) expectedFailureLoss(now time.Time, s *registry.Server) float64 {
	st := b.stats(s)
	if now.Before(st.pausedUntil) {
		return pausedPenalty
	}
	rate := st.failureRate * math.Exp(-now.Sub(st.failureRateAt).Seconds()/failureDecay.Seconds())
	if rate < minFailureRate {
		return 0
	}
	return failureLoss * rate
}
