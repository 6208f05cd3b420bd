package placement

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// countStream counts a random Zipf-distributed stream both in a sketch and exactly.
func countStream(rnd *rand.Rand, capacity, length int) (*HotKeys, map[string]float64) {
	sketch, exact := NewHotKeys(capacity), map[string]float64{}
	zipf := rand.NewZipf(rnd, 1.2, 1, 500)
	for range length {
		key := fmt.Sprint(zipf.Uint64())
		sketch.Add(key, 1)
		exact[key]++
	}
	return sketch, exact
}

// boundsHold reports whether the sketch's error bounds hold for the exact counts of
// both tracked and untracked keys.
func boundsHold(sketch *HotKeys, exact map[string]float64) bool {
	tracked := map[string]bool{}
	for _, key := range sketch.Top() {
		tracked[key.Key] = true
		if exact[key.Key] > key.Count || exact[key.Key] < key.Count-key.Error {
			return false
		}
	}
	for key, count := range exact {
		if count > sketch.maxUntracked && !tracked[key] {
			return false
		}
	}
	return len(tracked) <= sketch.capacity
}

func TestSketchBoundsTrueCounts(t *testing.T) {
	p := properties()
	p.Property("bounds hold for a stream", prop.ForAll(func(seed int64, capacity int) bool {
		sketch, exact := countStream(rand.New(rand.NewSource(seed)), capacity, 2000)
		return boundsHold(sketch, exact) && sketch.maxUntracked <= 2000/float64(capacity)
	}, gen.Int64(), gen.IntRange(1, 60)))
	p.Property("bounds hold for merged streams", prop.ForAll(func(seed int64, capacity int) bool {
		rnd := rand.New(rand.NewSource(seed))
		sketch, exact := countStream(rnd, capacity, 1000)
		for range 3 {
			other, more := countStream(rnd, 1+rnd.Intn(2*capacity), 500)
			sketch.Merge(other)
			for key, n := range more {
				exact[key] += n
			}
		}
		return boundsHold(sketch, exact)
	}, gen.Int64(), gen.IntRange(1, 60)))
	p.TestingRun(t)
}

func TestNewHotKeyOvertakesOldOneAfterDecay(t *testing.T) {
	sketch := NewHotKeys(2)
	sketch.Add("old", 100)
	for range 10 {
		sketch.Decay(0.5)
		sketch.Add("new", 10)
	}
	if top := sketch.Top(); top[0].Key != "new" {
		t.Fatalf("got hottest keys %v, want \"new\" first", top)
	}
}

func TestPinsHaveHysteresis(t *testing.T) {
	s := PinSettings{PinAbove: 0.2, UnpinBelow: 0.1, MaxPins: 2}
	keys := []HotKey{{Key: "hot", Count: 30}, {Key: "warm", Count: 15}, {Key: "cold", Count: 5}}
	if got := ChoosePins(keys, 100, nil, s); !slices.Equal(got, []string{"hot"}) {
		t.Fatalf("got initial pins %v, want [hot]", got)
	}
	if got := ChoosePins(keys, 100, []string{"cold", "warm"}, s); !slices.Equal(got, []string{"hot", "warm"}) {
		t.Fatalf("got pins %v with cold and warm pinned, want [hot warm]", got)
	}
}

func TestPinsAreBoundedAndIgnoreSketchErrors(t *testing.T) {
	s := PinSettings{PinAbove: 0.2, UnpinBelow: 0.1, MaxPins: 1}
	keys := []HotKey{{Key: "unsure", Count: 90, Error: 80}, {Key: "b", Count: 50}, {Key: "a", Count: 40}}
	if got := ChoosePins(keys, 100, nil, s); !slices.Equal(got, []string{"b"}) {
		t.Fatalf("got pins %v, want [b]", got)
	}
}

func TestPinSettingsErrorNamesFieldValueAndRange(t *testing.T) {
	if err := DefaultPinSettings.Validate(); err != nil {
		t.Fatal(err)
	}
	s := DefaultPinSettings
	s.UnpinBelow = 0.15
	const want = "pins.unpin_below: 0.15 is not between 0 and half of pin_above, 0.1"
	if err := s.Validate(); err == nil || err.Error() != want {
		t.Fatalf("got error %v, want %q", err, want)
	}
}
