package registry

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"runtime"
	"slices"
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
		r.Update(func(e *Edit) { e.RetainUntil(id, now.Add(time.Second)) })
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

// The memory that a first listing takes grows with the number of servers, not with its
// square: a VM that joins before thousands of servers must not stall.
func TestFirstListingCopiesTheRegistryOnce(t *testing.T) {
	allocated := func(servers int) uint64 {
		r := New()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		r.Update(func(e *Edit) {
			for i := range servers {
				e.Put(Server{ID: fmt.Sprint("s", i), Service: "svc", Incarnation: 1})
			}
		})
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	if small, large := allocated(400), allocated(4000); large > 20*small {
		t.Errorf("got %d bytes for 4,000 servers and %d for 400, want at most 20 times as many", large, small)
	}
}

// Changes made in one step have the same result as the same changes made one by one.
func TestChangesInOneStepEqualSingleChanges(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		single, batched := New(), New()
		for range 10 {
			var edits []func(*Edit)
			for range rng.IntN(8) {
				id, service := fmt.Sprint("s", rng.IntN(6)), fmt.Sprint("svc", rng.IntN(2))
				incarnation, draining, until := int64(1+rng.IntN(3)), rng.IntN(3) == 0, time.Unix(int64(rng.IntN(100)), 0)
				switch rng.IntN(4) {
				case 0:
					edits = append(edits, func(e *Edit) { e.Remove(id, "test") })
				case 1:
					edits = append(edits, func(e *Edit) { e.RetainUntil(id, until) })
				default:
					edits = append(edits, func(e *Edit) { e.Put(Server{ID: id, Service: service, Incarnation: incarnation, Draining: draining}) })
				}
			}
			for _, edit := range edits {
				single.Update(edit)
			}
			batched.Update(func(e *Edit) {
				for _, edit := range edits {
					edit(e)
				}
			})
			for _, r := range []*Registry{single, batched} {
				r.MarkTerminated("s1", 1, "test")
				r.Sweep(time.Unix(50, 0))
			}
			single.MarkTerminated("s2", 1, "test")
			batched.MarkTerminated("s2", 1, "test")
		}
		if !reflect.DeepEqual(single.current.Load().servers, batched.current.Load().servers) || !reflect.DeepEqual(single.retainedUntil, batched.retainedUntil) {
			t.Fatalf("seed %d: the registries differ", seed)
		}
		for _, service := range []string{"svc0", "svc1"} {
			if a, b := single.Usable(service), batched.Usable(service); len(a) != len(b) || len(a) > 0 && !reflect.DeepEqual(a, b) {
				t.Fatalf("seed %d, %s: got usable servers %v and %v", seed, service, a, b)
			}
		}
	}
}

// A server that crashed is known by what replaces it or by its missing registration; one that
// left as planned has not crashed.
func TestUnplannedEndsOfServersAreReported(t *testing.T) {
	r := New()
	var ended []Instance
	r.OnEnded(func(instance Instance, _ string) { ended = append(ended, instance) })
	for _, id := range []string{"restarted", "replaced", "gone", "terminated", "draining"} {
		r.Put(Server{ID: id, Address: id + ":1", Incarnation: 1})
	}
	r.Put(Server{ID: "restarted", Address: "restarted:1", Incarnation: 2})
	r.Put(Server{ID: "successor", Address: "replaced:1", Incarnation: 2})
	r.Put(Server{ID: "successor", Address: "replaced:1", Incarnation: 2, Slots: 6})
	r.Remove("gone", "its entry is gone")
	r.MarkTerminated("terminated", 1, "another server answers")
	r.Put(Server{ID: "draining", Address: "draining:1", Incarnation: 1, Draining: true})
	r.Remove("draining", "its entry is gone")
	want := []Instance{{"restarted", 1}, {"replaced", 1}, {"gone", 1}, {"terminated", 1}}
	if !slices.Equal(ended, want) {
		t.Errorf("got ends %v, want %v", ended, want)
	}
}

// Guards against requests to a server that said in an answer that it leaves: a registration that
// still says ready does not bring it back, a new incarnation starts free.
func TestServerThatSaysItLeavesDrains(t *testing.T) {
	r := New()
	server := Server{ID: "s", Service: "svc", Address: "s:1", Incarnation: 1, SeenAt: time.Now()}
	r.Put(server)
	r.MarkLeaving(Instance{"s", 2})
	r.MarkLeaving(Instance{"unknown", 1})
	if len(usable(r)) != 1 {
		t.Fatal("another incarnation's statement counts")
	}
	r.MarkLeaving(server.Instance())
	since := r.Get("s").SeenAt
	server.SeenAt = time.Now().Add(time.Second)
	r.Put(server)
	if s := r.Get("s"); len(usable(r)) != 0 || !s.Draining || !s.SeenAt.Equal(since) {
		t.Fatalf("got %+v, want it draining since it said so", s)
	}
	if got := r.Leaving(); len(got) != 1 || got[0] != server.Instance() {
		t.Errorf("got leaving servers %v, want one", got)
	}
	r.Put(Server{ID: "s", Service: "svc", Address: "s:1", Incarnation: 2})
	if len(usable(r)) != 1 {
		t.Fatal("a new incarnation is not used")
	}
	r.Remove("s", "its entry is gone")
	if got := r.Leaving(); len(got) != 0 {
		t.Errorf("got leaving servers %v after the removal, want none", got)
	}
}

// Guards against requests to a server that said that it leaves, once its registration was gone and
// came back while it still runs, or came back with a restored store.
func TestServerThatLeavesStaysSoWhenItsRegistrationReturns(t *testing.T) {
	r := New()
	ready := Server{ID: "a", Service: "svc", Address: "1", Incarnation: 1, SeenAt: time.Now()}
	r.Put(ready)
	r.MarkLeaving(ready.Instance())
	for range 3 {
		r.Remove("a", "test")
		r.Sweep(time.Now())
		r.Put(ready)
		if s := r.Get("a"); s == nil || !s.Draining || len(r.Usable("svc")) != 0 {
			t.Fatalf("got server %+v, %d usable, after its registration came back; want it draining", s, len(r.Usable("svc")))
		}
	}
	r.Remove("a", "test")
	r.Update(func(e *Edit) { e.InEra(1) })
	r.Put(ready) // from the copy
	r.Sweep(time.Now().Add(returnTime))
	if s := r.Get("a"); s == nil || !s.Draining {
		t.Errorf("got server %+v after its registration came back with a copy and lasted, want it draining", s)
	}
	r.Remove("a", "test")
	for range 2 {
		r.Sweep(time.Now().Add(2 * departureMemory))
	}
	if len(r.leaving) != 0 {
		t.Errorf("got %v remembered long after the removal, want none", r.leaving)
	}
	next := ready
	next.Incarnation++
	r.Put(next)
	if len(r.Usable("svc")) != 1 {
		t.Error("a new process under the ID is not usable")
	}
}
