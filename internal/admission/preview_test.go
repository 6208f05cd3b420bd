package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against previews that state another share than the one that is admitted.
func TestPreviewAgreesWithDecisions(t *testing.T) {
	const trials = 4000
	now := time.Unix(1000, 0)
	urgent := Request{Rank: 0, Objective: 100 * time.Millisecond, Left: time.Second}
	usual := Request{Rank: 1, Objective: time.Second, Left: 2 * time.Second}
	idle := State{Load: 1, Slots: 4, ServiceTime: 50 * time.Millisecond, Expected: 50 * time.Millisecond}
	busy := State{Load: 8, Slots: 4, ServiceTime: 50 * time.Millisecond, Expected: 150 * time.Millisecond}
	for name, state := range map[string]State{
		"idle": idle, "busy": busy, "limited": busy.Limit(10, 0.4, time.Second, 0), "rate limited": {Slots: 4, Limited: true, RateLimited: true, Share: 0.7},
		"full": {Slots: 4, Full: true},
	} {
		mix := &Mix{}
		for range 50 {
			Decide(now, urgent, idle, mix, 0.5, 0.5)
			Decide(now, usual, idle, mix, 0.5, 0.5)
		}
		preview := PreviewDecision(now, usual, state, mix)
		admitted := 0.0
		for range trials {
			if Decide(now, usual, state, mix.clone(), rand.Float64(), rand.Float64()).Outcome == Admit {
				admitted++
			}
		}
		if got := admitted / trials; math.Abs(got-preview.Admitted) > 0.04 {
			t.Errorf("%s: got a share of %.2f admitted, preview says %.2f", name, got, preview.Admitted)
		}
	}
}
