package placement

import (
	"fmt"
	"slices"
)

// PinSettings say which keys deserve a slot of their own, a key pin.
type PinSettings struct {
	// PinAbove is the load from which a key is pinned, as a share of the mean
	// load of a server. Default 0.2.
	PinAbove float64 `json:"pin_above"`
	// UnpinBelow is the load below which a pinned key returns to the slot of
	// its hash, as a share of the mean load of a server. Default 0.05.
	UnpinBelow float64 `json:"unpin_below"`
	// MaxPins bounds the pins of a group. 0 pins nothing. Default 32.
	MaxPins int `json:"max_pins"`
}

// DefaultPinSettings are used where settings leave pins out.
var DefaultPinSettings = PinSettings{
	PinAbove:   0.2,  // lower pins keys whose slot could as well be moved whole
	UnpinBelow: 0.05, // near PinAbove a key would be pinned and unpinned in turn
	MaxPins:    32,   // each pin lengthens the group row and every VM's routes
}

// Validate checks that every value is in its range. The error names the field,
// its value and what is allowed.
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
// order. keys are the group's hottest keys, counted in requests a second, the
// heaviest first; serverLoad is the mean load of a server in the same unit;
// pinned are the keys pinned now.
//
// A key is judged by the least that it may have counted, so that a sketch's
// error pins nothing. When there are too many, the heaviest stay.
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
