package gateway

import (
	"testing"
	"time"
)

// The age of the views that VMs state to one another must never be too small: a confirmation
// that is older than the last one changes nothing, and time in suspension counts.
func TestAgeOfViewsIsNeverUnderstated(t *testing.T) {
	now := time.Hour
	f := newFreshness()
	f.now = func() time.Duration { return now }
	if _, known := f.age(); known {
		t.Fatal("got a known age before the first confirmation")
	}
	f.confirm(200*time.Millisecond, false)
	f.confirm(3*time.Second, false)
	now += time.Second // also while suspended, by the clock of newFreshness
	if age, known := f.age(); !known || age != 1200*time.Millisecond {
		t.Fatalf("got age %v, known %v, want 1.2s", age, known)
	}
	ms := int64(1 << 62)
	if age, known := (&updatesAnswer{AgeMS: &ms}).age(); !known || age <= 0 {
		t.Errorf("got age %v, known %v for a huge stated age, want a large one", age, known)
	}
}
