package registry

import (
	"testing"
	"time"
)

func usable(r *Registry) []string {
	var ids []string
	for _, s := range r.Usable("svc") {
		ids = append(ids, s.ID)
	}
	return ids
}

func TestUsableServers(t *testing.T) {
	r := New()
	r.Put(Server{ID: "a", Service: "svc", Incarnation: 1})
	r.Put(Server{ID: "b", Service: "svc", Incarnation: 1, Draining: true})
	r.Put(Server{ID: "c", Service: "svc", Incarnation: 1})
	r.MarkTerminated("c", 1, "another server answers there")
	if got := usable(r); len(got) != 1 || got[0] != "a" {
		t.Fatalf("usable: %v", got)
	}
	r.Put(Server{ID: "c", Service: "svc", Incarnation: 2})
	if got := usable(r); len(got) != 2 {
		t.Fatalf("after a new start: %v", got)
	}
	if !r.IsTerminated("c", 1) || r.IsTerminated("c", 2) {
		t.Fatal("another server at its address ends a start, and only that")
	}
}

// An entry that vanished while the store was in trouble keeps its server for a
// moment, and for good when it comes back.
func TestLapsedEntries(t *testing.T) {
	r := New()
	now := time.Now()
	for _, id := range []string{"back", "gone"} {
		r.Put(Server{ID: id, Service: "svc", Incarnation: 1})
		r.RetainUntil(id, now.Add(time.Second))
	}
	r.Sweep(now)
	if got := usable(r); len(got) != 2 {
		t.Fatalf("at once: %v", got)
	}
	r.Put(Server{ID: "back", Service: "svc", Incarnation: 1})
	r.Sweep(now.Add(2 * time.Second))
	if got := usable(r); len(got) != 1 || got[0] != "back" {
		t.Fatalf("after the time: %v", got)
	}
}
