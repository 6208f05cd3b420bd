package admission

import (
	"math"
	"slices"
	"time"
)

// Preview is what Decide would decide on a request, which chance may affect.
type Preview struct {
	Decision         // the most likely one
	Admitted float64 // share of such requests that are admitted
}

// PreviewDecision returns what Decide would decide on a request, without counting it. A nil mix
// stands for an empty one.
func PreviewDecision(now time.Time, r Request, s State, mix *Mix) Preview {
	const meanSpread = 0.5
	best := Decide(now, r, s, mix.clone(), 0, meanSpread)
	worst := Decide(now, r, s, mix.clone(), math.Nextafter(1, 0), meanSpread)
	switch {
	case worst.Outcome == Admit:
		return Preview{worst, 1}
	case best.Outcome != Admit:
		return Preview{best, 0}
	}
	admitted := floorShare
	if s.Limited {
		admitted, _ = mix.clone().count(now, r, s, r.late(s))
	}
	if admitted > 0.5 {
		return Preview{best, admitted}
	}
	return Preview{worst, admitted}
}

func (m *Mix) clone() *Mix {
	if m == nil {
		return &Mix{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return &Mix{ranks: slices.Clone(m.ranks), at: m.at}
}

// Peek returns what Infer does without counting the deadline that the caller states.
func (a *Ages) Peek(now time.Time, route string, stated, timeout time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.routes[route]
	if stated <= 0 || d == nil || now.Sub(d.at) > deadlinesLife {
		return 0
	}
	return d.age(stated.Round(time.Millisecond), timeout)
}
