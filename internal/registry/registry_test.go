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

// Draining servers and terminated incarnations get no new requests. A newer incarnation
// of a terminated server does.
func TestDrainingOrTerminatedServersAreNotUsable(t *testing.T) {
	r := New()
	r.Put(Server{ID: "a", Service: "svc", Incarnation: 1})
	r.Put(Server{ID: "b", Service: "svc", Incarnation: 1, Draining: true})
	r.Put(Server{ID: "c", Service: "svc", Incarnation: 1})
	r.MarkTerminated("c", 1, "another server answers there")
	if got := usable(r); len(got) != 1 || got[0] != "a" {
		t.Fatalf("got usable servers %v, want [a]", got)
	}
	r.Put(Server{ID: "c", Service: "svc", Incarnation: 2})
	if got := usable(r); len(got) != 2 {
		t.Fatalf("got usable servers %v after a new incarnation of c, want [a c]", got)
	}
	if !r.IsTerminated("c", 1) || r.IsTerminated("c", 2) {
		t.Fatal("got wrong terminated incarnations of c, want 1 terminated and 2 not")
	}
}

// A server whose registration disappears during or shortly after a store outage stays
// usable until the given time, and after it if the registration has reappeared.
func TestServerIsRetainedWhileStoreIsDegraded(t *testing.T) {
	r := New()
	now := time.Now()
	for _, id := range []string{"back", "gone"} {
		r.Put(Server{ID: id, Service: "svc", Incarnation: 1})
		r.RetainUntil(id, now.Add(time.Second))
	}
	r.Sweep(now)
	if got := usable(r); len(got) != 2 {
		t.Fatalf("got usable servers %v before the given time, want both", got)
	}
	r.Put(Server{ID: "back", Service: "svc", Incarnation: 1})
	r.Sweep(now.Add(2 * time.Second))
	if got := usable(r); len(got) != 1 || got[0] != "back" {
		t.Fatalf("got usable servers %v after the given time, want [back]", got)
	}
}
