package placement

import "fmt"

// Settings say when a move for balance pays. Moves off a server that is lost,
// draining or removed are made at once and are not subject to them.
type Settings struct {
	// Tolerance is how far a server's load per capacity may lie above the
	// group's mean before slots are moved off it, as a share of the mean.
	// Default 0.1.
	Tolerance float64 `json:"tolerance"`
	// MinGain is the price of a move: a move is made only if it lowers the load
	// per capacity of the hotter of its two servers by at least this share of
	// the group's mean. Default 0.02.
	MinGain float64 `json:"min_gain"`
	// MoveBudget bounds the moves for balance in one plan, as a share of the
	// group's slots, rounded up. 0 makes no moves for balance. Default 0.02.
	MoveBudget float64 `json:"move_budget"`
	// IdleWeight is counted for each slot on top of its measured load, as a
	// share of the mean load of a slot, so that slots without load are spread
	// too. Default 0.1.
	IdleWeight float64 `json:"idle_weight"`
}

// DefaultSettings are used where settings leave placement out.
var DefaultSettings = Settings{
	Tolerance:  0.1,  // a lower one moves slots back and forth with the noise of the measurements
	MinGain:    0.02, // 0 spends moves on differences that no caller notices
	MoveBudget: 0.02, // each moved slot is without an owner for a moment
	IdleWeight: 0.1,  // 0 lets one server collect all slots that are idle now
}

// Validate checks that every value is in its range. The error names the field,
// its value and what is allowed.
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
