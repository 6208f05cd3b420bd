package keyspace

import (
	"context"
	"testing"
)

// scriptedControl returns scripted results for grants, in order.
type scriptedControl struct {
	results []Result
	sent    []Order
}

func (s *scriptedControl) Grant(_ context.Context, o Order, _ func() bool) Result {
	s.sent = append(s.sent, o)
	result := s.results[0]
	s.results = s.results[1:]
	return result
}

func (s *scriptedControl) Release(context.Context, Order, func() bool) Result { return Result{} }

func testGrant(to Holder, from uint32, session uint64) Order {
	return Order{Kind: OrderGrant, To: to, Span: Span{from, from}, Session: session}
}

// Guards against releases that hold up other orders, and against grants to one server
// that do not share a connection: grants to a server form one batch, each release its
// own.
func TestGrantsToOneServerAreBatched(t *testing.T) {
	release := Order{Kind: OrderRelease, To: holderA, Span: Span{7, 7}}
	got := groupIntoBatches([]Order{testGrant(holderA, 1, 1), release, testGrant(holderB, 2, 1), testGrant(holderA, 3, 1)})
	if len(got) != 3 || len(got[0]) != 2 || got[0][1].Span.From != 3 || len(got[1]) != 1 || len(got[2]) != 1 {
		t.Fatalf("got batches %+v, want two grants to a, one release, one grant to b", got)
	}
}

// Guards against waiting for an unresponsive server once per grant of a batch. A
// renewal whose session was closed says nothing about the server, so the batch
// continues.
func TestBatchStopsAtUnresponsiveServer(t *testing.T) {
	for name, c := range map[string]struct {
		results []Result
		sent    int
	}{
		"answered": {[]Result{{Acknowledged: true}, {Rejected: true}, {Acknowledged: true}}, 3},
		"silent":   {[]Result{{Acknowledged: true}, {}}, 2},
		"closed":   {[]Result{{Unsent: true}, {Acknowledged: true}, {Acknowledged: true}}, 3},
	} {
		control := &scriptedControl{results: c.results}
		lease := newLeaseRig().newLease("a")
		coordinator := NewCoordinator(Options{CoordinatorLease: lease, Control: control, Clock: lease.clock})
		svc := &serviceState{leases: NewLeaseTracker(walkTiming, Record{}, 0, 0, 0, 0)}
		coordinator.sendBatch(t.Context(), svc, []Order{testGrant(holderA, 1, 1), testGrant(holderA, 2, 1), testGrant(holderA, 3, 1)})
		if len(control.sent) != c.sent {
			t.Errorf("%s: got %d calls, want %d", name, len(control.sent), c.sent)
		}
	}
}
