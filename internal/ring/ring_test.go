package ring

import "testing"

func TestFullRingRefusesAndCounts(t *testing.T) {
	r := New[int](2)
	if !r.Offer(1) || !r.Offer(2) {
		t.Fatal("an item was refused below capacity")
	}
	if r.Offer(3) {
		t.Fatal("a full ring took an item")
	}
	if r.Refused() != 1 {
		t.Fatalf("refused %d, want 1", r.Refused())
	}
	if got := <-r.Items(); got != 1 {
		t.Fatalf("got %d first, want 1", got)
	}
}
