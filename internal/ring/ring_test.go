package ring

import "testing"

func TestFullRingRefusesAndCounts(t *testing.T) {
	r := New[int](2)
	if !r.Offer(1) || !r.Offer(2) {
		t.Fatal("Offer rejected an item below capacity")
	}
	if r.Offer(3) {
		t.Fatal("Offer accepted an item at capacity")
	}
	if r.Refused() != 1 {
		t.Fatalf("got %d refused items, want 1", r.Refused())
	}
	if got := <-r.Items(); got != 1 {
		t.Fatalf("got first item %d, want 1", got)
	}
}
