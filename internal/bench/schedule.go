package bench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// plannedCall is one call of the schedule.
type plannedCall struct {
	number         int
	at             time.Duration // intended send time, from the start of the load
	traffic        *Traffic
	kind           *Kind
	key            string
	target         int    // index of the VM
	idempotencyKey string // Idempotency-Key; empty: none
	resendOf       int    // number of the call that this one repeats; -1: none
	crash          bool
}

// probeKind is the kind of the probe calls.
var probeKind = &Kind{Name: "probe", Method: "GET", Path: "/probe/{key}", Class: "interactive", WorkMS: 0.2}

// schedule plans every call before the load starts, so that the calls of a bench run
// depend only on the scenario, the seed and the number of VMs. prefix makes the
// idempotency keys of two bench runs differ.
func schedule(s *Scenario, seed uint64, targets int, prefix string) []plannedCall {
	planner := &planner{scenario: s, targets: targets, prefix: prefix, rng: rand.New(rand.NewPCG(seed, 1))}
	planner.addArrivals()
	for i := range s.Services {
		planner.addProbes(&s.Services[i])
	}
	slices.SortStableFunc(planner.calls, func(a, b plannedCall) int { return cmp.Compare(a.at, b.at) })
	return planner.calls
}

type planner struct {
	scenario *Scenario
	targets  int
	prefix   string
	rng      *rand.Rand
	calls    []plannedCall
	zipfs    map[*Traffic]*rand.Zipf
}

// addArrivals adds calls that arrive as a Poisson process over all services.
func (p *planner) addArrivals() {
	at := time.Duration(0)
	for {
		at += time.Duration(p.rng.ExpFloat64() / p.scenario.RatePerS * float64(time.Second))
		if at >= p.scenario.Duration() {
			return
		}
		p.addArrival(at)
	}
}

func (p *planner) addArrival(at time.Duration) {
	traffic := pickWeighted(p.rng, p.scenario.Services, func(t *Traffic) float64 { return t.Weight })
	kind := pickWeighted(p.rng, traffic.Kinds, func(k *Kind) float64 { return k.Share })
	call := plannedCall{
		number:   len(p.calls),
		at:       at,
		traffic:  traffic,
		kind:     kind,
		target:   p.rng.IntN(p.targets),
		resendOf: -1,
		crash:    kind.CrashShare > 0 && p.rng.Float64() < kind.CrashShare,
	}
	if !kind.Keyless {
		call.key = p.key(traffic, at)
	}
	if kind.SendsIdempotencyKey {
		call.idempotencyKey = fmt.Sprintf("%s-%d", p.prefix, call.number)
	}
	p.calls = append(p.calls, call)
	if kind.ResendShare > 0 && p.rng.Float64() < kind.ResendShare {
		p.calls = append(p.calls, p.resend(call))
	}
}

// resend plans the repetition of a call through another VM.
func (p *planner) resend(call plannedCall) plannedCall {
	repeat := call
	repeat.number = len(p.calls)
	repeat.resendOf = call.number
	repeat.at += time.Duration(call.kind.ResendAfterMS) * time.Millisecond
	repeat.target = otherTarget(call.target, p.targets)
	return repeat
}

func otherTarget(target, targets int) int { return (target + 1) % targets }

// key draws a key. The hot keys change by shifting the whole ranking.
func (p *planner) key(t *Traffic, at time.Duration) string {
	rank := p.rank(t)
	if t.HotChangeMS > 0 {
		period := uint64(at.Milliseconds() / t.HotChangeMS)
		const stride = 7919 // a prime, so that successive periods share no hot keys
		rank = (rank + period*stride) % t.Keys
	}
	return keyName(rank)
}

func keyName(rank uint64) string { return fmt.Sprintf("k%d", rank) }

func (p *planner) rank(t *Traffic) uint64 {
	if t.ZipfS == 0 {
		return p.rng.Uint64N(t.Keys)
	}
	if p.zipfs == nil {
		p.zipfs = map[*Traffic]*rand.Zipf{}
	}
	zipf, ok := p.zipfs[t]
	if !ok {
		zipf = rand.NewZipf(p.rng, t.ZipfS, 1, t.Keys-1)
		p.zipfs[t] = zipf
	}
	return zipf.Uint64()
}

// addProbes adds the probe calls of a service. The probed keys are spread evenly
// over the whole range of keys.
func (p *planner) addProbes(t *Traffic) {
	if t.Probes.Keys == 0 {
		return
	}
	every := time.Duration(t.Probes.EveryMS) * time.Millisecond
	step := t.Keys / uint64(t.Probes.Keys)
	for i := range t.Probes.Keys {
		key := keyName(uint64(i) * step)
		first := every * time.Duration(i) / time.Duration(t.Probes.Keys)
		for n, at := 0, first; at < p.scenario.Duration(); n, at = n+1, at+every {
			p.calls = append(p.calls, plannedCall{
				number: len(p.calls), at: at, traffic: t, kind: probeKind,
				key: key, target: (i + n) % p.targets, resendOf: -1,
			})
		}
	}
}

// pickWeighted draws one item with a probability proportional to its weight.
func pickWeighted[T any](rng *rand.Rand, items []T, weight func(*T) float64) *T {
	total := 0.0
	for i := range items {
		total += weight(&items[i])
	}
	left := rng.Float64() * total
	for i := range items {
		left -= weight(&items[i])
		if left < 0 {
			return &items[i]
		}
	}
	return &items[len(items)-1]
}

// path returns the path of a call as sent to a VM.
func (c *plannedCall) path() string {
	return "/" + c.traffic.Service + strings.ReplaceAll(c.kind.Path, "{key}", c.key)
}
