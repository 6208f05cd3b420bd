package placement

import (
	"fmt"
	"slices"
)

// PinSettings control key pinning, which only command compare simulates: the router pins
// no keys. A pinned key has a slot of its own, separate from the slot that its hash
// selects.
type PinSettings struct {
	// PinAbove is the minimum load at which a key is pinned, as a fraction of
	// the mean server load. Default 0.2.
	PinAbove float64 `json:"pin_above"`
	// UnpinBelow is the load below which a pinned key returns to the slot that
	// its hash selects, as a fraction of the mean server load. Default 0.05.
	UnpinBelow float64 `json:"unpin_below"`
	// MaxPins is the maximum number of pinned keys per group. 0 disables
	// pinning. Default 32.
	MaxPins int `json:"max_pins"`
}

// DefaultPinSettings are the default settings of command compare.
var DefaultPinSettings = PinSettings{
	PinAbove:   0.2,  // a lower value pins keys whose whole slot could be moved instead
	UnpinBelow: 0.05, // a value near PinAbove pins and unpins the same key repeatedly
	MaxPins:    32,   // each pin would add to the group row and to every VM's routes
}

// Validate checks that every value is in range. The error names the field, its
// value and the allowed range.
func (s PinSettings) Validate() error {
	if !(s.PinAbove > 0 && s.PinAbove <= 10) {
		return fmt.Errorf("pins.pin_above: %v is not above 0 and at most 10", s.PinAbove)
	}
	if !(s.UnpinBelow >= 0 && s.UnpinBelow <= s.PinAbove/2) {
		return fmt.Errorf("pins.unpin_below: %v is not between 0 and half of pin_above, %v", s.UnpinBelow, s.PinAbove/2)
	}
	if s.MaxPins < 0 || s.MaxPins > 1024 {
		return fmt.Errorf("pins.max_pins: %d is not between 0 and 1024", s.MaxPins)
	}
	return nil
}

// ChoosePins returns the keys of a group that should be pinned, in ascending
// order. keys are the group's hottest keys in descending order of requests per
// second, serverLoad is the mean load of a server in requests per second, and
// pinned lists the keys that are pinned now.
//
// Keys are compared by the lower bound of their count, so that the sketch's error
// alone never pins a key. If more than MaxPins keys qualify, the hottest are
// chosen.
func ChoosePins(keys []HotKey, serverLoad float64, pinned []string, s PinSettings) []string {
	var chosen []string
	for _, key := range keys {
		if len(chosen) == s.MaxPins {
			break
		}
		threshold := s.PinAbove
		if slices.Contains(pinned, key.Key) {
			threshold = s.UnpinBelow
		}
		if load := key.Count - key.Error; load > 0 && load >= threshold*serverLoad {
			chosen = append(chosen, key.Key)
		}
	}
	slices.Sort(chosen)
	return chosen
}
