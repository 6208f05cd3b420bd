package placement

import "fmt"

// Settings control when slots are moved to balance the load. They do not apply to
// moves off an unreachable, draining or removed server, which are made immediately.
type Settings struct {
	// Tolerance is how far a server's load per capacity may exceed the group's
	// mean before slots are moved off it, as a fraction of the mean. Default 0.1.
	Tolerance float64 `json:"tolerance"`
	// MinGain is the minimum gain of a balancing move: the reduction in load
	// per capacity of the hotter of its two servers, as a fraction of the
	// group's mean. Default 0.02.
	MinGain float64 `json:"min_gain"`
	// MoveBudget is the maximum number of balancing moves in one plan, as a
	// fraction of the group's slots, rounded up. 0 disables balancing. Default
	// 0.02.
	MoveBudget float64 `json:"move_budget"`
	// IdleWeight is added to the measured load of every slot, as a fraction of
	// the mean slot load, so that idle slots are spread too. Default 0.1.
	IdleWeight float64 `json:"idle_weight"`
}

// DefaultSettings are the defaults for settings that are not specified.
var DefaultSettings = Settings{
	Tolerance:  0.1,  // a lower value moves slots back and forth with measurement noise
	MinGain:    0.02, // 0 makes moves for differences that no caller notices
	MoveBudget: 0.02, // each moved slot briefly has no owner
	IdleWeight: 0.1,  // 0 may give all currently idle slots to one server
}

// Validate checks that every value is in range. The error names the field, its
// value and the allowed range.
func (s Settings) Validate() error {
	checks := []struct {
		field    string
		value    float64
		min, max float64
	}{
		{"tolerance", s.Tolerance, 0, 10},
		{"min_gain", s.MinGain, 0.001, 10},
		{"move_budget", s.MoveBudget, 0, 1},
		{"idle_weight", s.IdleWeight, 0, 10},
	}
	for _, c := range checks {
		if !(c.value >= c.min && c.value <= c.max) {
			return fmt.Errorf("placement.%s: %v is not between %v and %v", c.field, c.value, c.min, c.max)
		}
	}
	return nil
}
