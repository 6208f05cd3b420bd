// Package admission decides whether a request is sent to a server, and when the caller of a
// refused request should return. It does no I/O and reads no clock.
package admission

import (
	"fmt"
	"time"
)

// Request is a request that asks for admission.
type Request struct {
	Rank int // requests of a lower rank are more urgent
	// Objective is the time since the first attempt up to which an answer counts as in time;
	// 0: none.
	Objective time.Duration
	Age       time.Duration // since the caller's first attempt
	Left      time.Duration // time in which this attempt must be answered
	// CallerLeft is the time that the caller has left for this and later attempts; 0: not
	// stated.
	CallerLeft time.Duration
}

// State is what a VM knows of the server for a request.
type State struct {
	Load        float64       // requests that run or wait at the server
	Slots       int           // requests that it runs concurrently
	ServiceTime time.Duration // mean over its slow and fast moments
	Expected    time.Duration // expected latency of an answer
	Full        bool          // the server would probably reject the request
	// SlowFor is for how long requests of this key take several times as long as others, as the
	// server got the key without the state of its former owner; 0: they don't.
	SlowFor time.Duration
	// JustMoved says that the server has just got the key, so that Share does not show what the
	// requests which waited for it cost.
	JustMoved bool

	// Watched says that the coordinator sums up the load at the server and limits it where
	// necessary. Otherwise the VM's own estimate decides alone.
	Watched bool
	// Limited says that the coordinator limits the requests of all VMs to Share. The other
	// fields are only set then.
	Limited bool
	Share   float64       // share of the requests that may be sent, 0 to 1
	Wait    time.Duration // until the server has worked off what exceeds its target
	Age     time.Duration // of Share and Wait
	// RateLimited says that Share keeps the requests of all VMs within a rate limit.
	RateLimited bool
}

// Limit returns the state with a limit by the coordinator. load is the load that all VMs report. If it
// is higher than the VM's own estimate, it replaces that: a VM that seldom uses a server does
// not see its queue.
func (s State) Limit(load, share float64, wait, age time.Duration) State {
	s.Limited, s.Share, s.Wait, s.Age = true, share, wait, age
	if load > s.Load {
		slots := float64(max(s.Slots, 1))
		waiting := max(load+1-slots, 0)
		s.Load, s.Expected = load, max(s.Expected, time.Duration(float64(s.ServiceTime)*(1+waiting/slots)))
	}
	return s
}

// exceeds reports whether an answer is expected after a share of an objective because of the requests
// before it: a service time that is long for the objective is no reason to refuse, as the
// request takes no less later.
func (s State) exceeds(share float64, objective time.Duration) bool {
	return float64(s.Expected) > max(share*float64(objective), queuedFactor*float64(s.ServiceTime))
}

// Outcome says what becomes of a request.
type Outcome int

const (
	// Admit sends the request.
	Admit Outcome = iota
	// Return refuses the request and asks the caller to return.
	Return
	// Final refuses the request for good: no return can lead to an answer before the deadline.
	Final
)

// String returns the outcome for logs.
func (o Outcome) String() string { return [...]string{"admitted", "return", "no return in time"}[o] }

// Decision is a decision on a request.
type Decision struct {
	Outcome    Outcome
	RetryAfter time.Duration // for Return
	Reason     string        // for refusals
}

const (
	// MinRetryAfter is the shortest Retry-After hint: a shorter one costs the caller an attempt
	// while the state of the server is still the same. A request that is younger is new.
	MinRetryAfter = 20 * time.Millisecond
	// MaxHonoredShare is the share of its time left up to which a caller honors a hint.
	MaxHonoredShare = 1.0 / 3
	// retryAfterShare is the shortest mean hint as a share of the objective. While a server is at
	// its target, whether a caller is admitted does not depend on when it returns, and one that
	// returns soon can still be answered in time.
	retryAfterShare = 0.1
	// busyPerSlot is the number of requests per slot from which late requests are refused by the
	// VM's own estimate. Below it the server has room for them beside those in time.
	busyPerSlot = 1.2
	// objectiveShare is the share of the objective up to which a server is loaded by the VM's own
	// estimate. With the whole objective half of the answers at that load are late.
	objectiveShare = 0.9
	// queuedFactor is the expected latency, in service times, from which the queue makes up half
	// of it.
	queuedFactor = 2.0
	// urgentShare is the share of the objective of more urgent requests up to which less urgent
	// ones may load a server by the VM's own estimate. Single answers take up to about twice
	// the mean.
	urgentShare = 0.6
	// justMovedShare is the share of the requests for a key that has just moved from a lost server
	// which may be sent: they take about five times the work of others, so this is the work that the
	// key meant before. All VMs send what has waited for the move at once otherwise.
	justMovedShare = 0.2
	// justMovedWait is the mean hint for such a request: two reporting intervals, after which
	// the load at the server is known.
	justMovedWait = 800 * time.Millisecond
	// fastShare is the share of the mean service time that about one request in a hundred
	// undercuts, if the logarithms of the service times deviate by 0.3.
	fastShare = 0.5
)

// Decide decides on a request and counts it in mix, the recent requests of its service. random
// and spread are independent and uniformly distributed below 1; spread keeps callers from
// returning together.
func Decide(now time.Time, r Request, s State, mix *Mix, random, spread float64) Decision {
	late := r.late(s)
	share, urgent := mix.count(now, r, s, late)
	reason := ""
	switch {
	case s.Full:
		reason = "its queue is full"
	case s.Expected >= r.Left:
		reason = "an answer is expected too late"
	case s.JustMoved:
		if random >= min(justMovedShare, share) {
			reason = "it has just got the key of a lost server"
		}
	case s.Limited:
		if random >= share {
			reason = "it is overloaded"
		}
	case s.Watched || s.Load < busyPerSlot*float64(s.Slots):
	case late || r.Objective > 0 && s.exceeds(objectiveShare, r.Objective):
		reason = "an answer is expected after the objective"
	case urgent > 0 && s.exceeds(urgentShare, urgent) && random >= floorShare:
		reason = "more urgent requests would be answered late"
	}
	if reason == "" {
		return Decision{Outcome: Admit}
	}
	if r.CallerLeft > 0 && r.CallerLeft-MinRetryAfter <= time.Duration(fastShare*float64(s.ServiceTime)) {
		return Decision{Outcome: Final, Reason: reason}
	}
	hint := s.Expected / 2
	if s.Limited {
		hint = RetryAfter(s.Wait-s.Age, r.Objective, spread)
	}
	switch {
	case s.JustMoved:
		hint = time.Duration((0.5 + spread) * float64(justMovedWait))
	case s.SlowFor > 0:
		hint = max(hint, s.SlowFor)
	}
	return Decision{Outcome: Return, RetryAfter: r.honored(hint, s.ServiceTime), Reason: reason}
}

// late reports whether an attempt after the first one is expected to be answered after the objective.
func (r Request) late(s State) bool {
	return s.SlowFor > 0 || r.Objective > 0 && r.Age >= MinRetryAfter && r.Age+s.Expected > r.Objective
}

// RetryAfter returns the hint for a request whose server is expected to have room after wait.
// spread is uniformly distributed below 1.
func RetryAfter(wait, objective time.Duration, spread float64) time.Duration {
	shortest := time.Duration(retryAfterShare * float64(objective))
	return time.Duration((0.5 + spread) * float64(max(shortest, wait)))
}

// honored shortens a hint to what the caller honors, and so that it leaves the service time of
// a return.
func (r Request) honored(hint, serviceTime time.Duration) time.Duration {
	left := r.CallerLeft
	if left <= 0 {
		left = r.Left
	}
	return max(min(hint, time.Duration(MaxHonoredShare*float64(left)), left-serviceTime), MinRetryAfter)
}

// Describe names the inputs and the outcome of a decision for logs and messages.
func (d Decision) Describe(r Request, s State) string {
	ms := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	text := fmt.Sprintf("load %.1f on %d slots, answer expected after %v, rank %d, age %v, %v left", s.Load, s.Slots, ms(s.Expected), r.Rank, ms(r.Age), ms(r.Left))
	if s.SlowFor > 0 {
		text += fmt.Sprintf(", key slow for %v", ms(s.SlowFor))
	}
	if s.Limited {
		text = fmt.Sprintf("admitted share %.2f as of %v ago, ", s.Share, ms(s.Age)) + text
	}
	if d.Reason != "" {
		text = d.Reason + ": " + text
	}
	return text + "; " + d.Outcome.String()
}
