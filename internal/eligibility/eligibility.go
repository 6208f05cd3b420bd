// Package eligibility decides whether a server may get a request from this VM now, and if not, why
// and from when. It is asked before a server is chosen and again right before a request is sent.
package eligibility

import (
	"time"

	"kumquatcleat/internal/registry"
)

// Reason says why a server may not get a request.
type Reason string

// Reasons, in the order in which they are checked: the first one that applies is named. Whether
// a server that may get a request has room for it is decided afterwards, by its load.
const (
	Gone        Reason = "gone"         // not registered any more, or started again
	Leaving     Reason = "leaving"      // drains, or says that it leaves
	Evacuated   Reason = "evacuated"    // its failure domain is evacuated
	Paused      Reason = "paused"       // it asked this VM for a pause
	WarmingUp   Reason = "warming up"   // it is cold, and this VM's share of its warm-up rate is used up
	RateLimited Reason = "rate limited" // this VM's share of the rate that it states is used up
)

// Verdict is the result of a check. The zero Verdict lets the request be sent.
type Verdict struct {
	Reason Reason
	// Wait is the time after which the server may get a request; 0: unknown.
	Wait time.Duration
}

// Allowed reports whether the request may be sent.
func (v Verdict) Allowed() bool { return v.Reason == "" }

// Pauses tells how long servers want no requests from this VM.
type Pauses interface {
	Wait(now time.Time, server registry.Instance) time.Duration
}

// Limits tells when this VM's share of the rate of a server allows a request. warmingUp says that
// the rate is that of the server's warm-up.
type Limits interface {
	WaitReason(now time.Time, server registry.Instance) (wait time.Duration, warmingUp bool)
}

// Gate checks servers. All fields are required.
type Gate struct {
	Registry *registry.Registry
	Pauses   Pauses
	Limits   Limits
	// OwnerGrace is how long a server of an evacuated failure domain still gets requests for the
	// keys it owns, while they move.
	OwnerGrace time.Duration
}

// Check checks a server for a request that any server of its service may run.
func (g *Gate) Check(now time.Time, s *registry.Server) Verdict {
	known := g.Registry.Get(s.ID)
	switch {
	case known == nil || !known.SameInstance(s):
		return Verdict{Reason: Gone}
	case known.Draining:
		return Verdict{Reason: Leaving}
	}
	if _, evacuated := g.Registry.Evacuated(known.FailureDomain); evacuated {
		return Verdict{Reason: Evacuated}
	}
	return g.CheckUsable(now, s)
}

// CheckUsable checks a server that Registry.Usable has just returned.
func (g *Gate) CheckUsable(now time.Time, s *registry.Server) Verdict {
	if wait := g.Pauses.Wait(now, s.Instance()); wait > 0 {
		return Verdict{Paused, wait}
	}
	wait, warmingUp := g.Limits.WaitReason(now, s.Instance())
	switch {
	case wait == 0:
		return Verdict{}
	case warmingUp:
		return Verdict{WarmingUp, wait}
	default:
		return Verdict{RateLimited, wait}
	}
}

// CheckOwner checks the only server that may run a request, as it owns the key. While keys move away,
// their owner still gets requests. Its rate is divided among the VMs where the request is
// admitted.
func (g *Gate) CheckOwner(now time.Time, s *registry.Server) Verdict {
	known := g.Registry.Get(s.ID)
	if known == nil || !known.SameInstance(s) {
		return Verdict{Reason: Gone}
	}
	if since, evacuated := g.Registry.Evacuated(known.FailureDomain); evacuated && now.Sub(since) > g.OwnerGrace {
		return Verdict{Reason: Evacuated}
	}
	if wait := g.Pauses.Wait(now, s.Instance()); wait > 0 {
		return Verdict{Paused, wait}
	}
	return Verdict{}
}

// Earliest returns the verdict of the server that may get a request first, and false without
// servers. A known waiting time comes before an unknown one.
func Earliest(servers []*registry.Server, check func(*registry.Server) Verdict) (first *registry.Server, verdict Verdict, found bool) {
	for _, s := range servers {
		v := check(s)
		if !found || before(v, verdict) {
			first, verdict, found = s, v, true
		}
	}
	return first, verdict, found
}

func before(a, b Verdict) bool {
	if a.Allowed() || b.Allowed() {
		return a.Allowed() && !b.Allowed()
	}
	if (a.Wait > 0) != (b.Wait > 0) {
		return a.Wait > 0
	}
	return a.Wait < b.Wait
}
