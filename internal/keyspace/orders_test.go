package keyspace

import (
	"context"
	"testing"
)

// script answers grants to a server in turn.
type script struct {
	results []Result
	sent    []Order
}

func (s *script) Grant(_ context.Context, o Order, _ func() bool) Result {
	s.sent = append(s.sent, o)
	result := s.results[0]
	s.results = s.results[1:]
	return result
}

func (s *script) Release(context.Context, Order, func() bool) Result { return Result{} }

func testGrant(to Holder, from uint32, session uint64) Order {
	return Order{Kind: OrderGrant, To: to, Span: Span{from, from}, Session: session}
}

// Grants to one server go out one after another, so that they share a connection;
// releases wait for running work and go out alone.
func TestGrantsToOneServerAreBatched(t *testing.T) {
	release := Order{Kind: OrderRelease, To: holderA, Span: Span{7, 7}}
	got := groupIntoBatches([]Order{testGrant(holderA, 1, 1), release, testGrant(holderB, 2, 1), testGrant(holderA, 3, 1)})
	if len(got) != 3 || len(got[0]) != 2 || got[0][1].Span.From != 3 || len(got[1]) != 1 || len(got[2]) != 1 {
		t.Fatalf("batches %+v", got)
	}
}

// A server that leaves one grant unanswered is not waited for with the next ones;
// a renewal whose session was closed tells nothing about it.
func TestBatchStopsAtUnresponsiveServer(t *testing.T) {
	for name, c := range map[string]struct {
		results []Result
		sent    int
	}{
		"answered": {[]Result{{Acknowledged: true}, {Rejected: true}, {Acknowledged: true}}, 3},
		"silent":   {[]Result{{Acknowledged: true}, {}}, 2},
		"closed":   {[]Result{{Unsent: true}, {Acknowledged: true}, {Acknowledged: true}}, 3},
	} {
		control := &script{results: c.results}
		lease := newLeaseRig().newLease("a")
		coordinator := NewCoordinator(Options{CoordinatorLease: lease, Control: control, Clock: lease.clock})
		svc := &serviceState{leases: NewLeaseTracker(walkTiming, Record{}, 0, 0, 0)}
		coordinator.sendBatch(t.Context(), svc, []Order{testGrant(holderA, 1, 1), testGrant(holderA, 2, 1), testGrant(holderA, 3, 1)})
		if len(control.sent) != c.sent {
			t.Errorf("%s: %d calls, want %d", name, len(control.sent), c.sent)
		}
	}
}
