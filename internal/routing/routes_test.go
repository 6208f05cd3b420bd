package routing

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/config"
)

// movingSource tells of a slot that moves for the first questions.
type movingSource struct {
	requests atomic.Int64
	movingAnswers int64 // how many answers say that the slot is moving
}

func (s *movingSource) FetchRoutes(context.Context, RouteRequest) (RouteAnswer, error) {
	n := s.requests.Add(1)
	route := SlotRoute{Server: "s1", ServerIncarnation: "1", Token: backend.Token{Epoch: 1, Seq: 1}, Moving: n <= s.movingAnswers}
	return RouteAnswer{Version: uint64(n), Slots: map[uint32]SlotRoute{0: route}}, nil
}

func oneSlotService() *config.Service {
	return &config.Service{
		Name: "shop", SlotCount: 1, Domains: []string{"a"},
		Servers: []config.Server{{ID: "s1", FailureDomain: "a", Checks: true, Slots: 1}},
	}
}

// While a request waits for a slot's new owner the keeper is asked much more
// often than once an interval: the wait ends in a fraction of it. Compared are two
// counts within one run, no wall time.
func TestRequestThatWaitsForAMoveDoesNotSleepAWholeInterval(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	source := &movingSource{movingAnswers: 4}
	table := NewRouteTable(ctx, source)
	start := time.Now()
	target, err := table.Resolve(ctx, oneSlotService(), 0)
	if err != nil || target.Server.ID != "s1" {
		t.Fatalf("%+v, %v", target, err)
	}
	elapsed := time.Since(start)
	if intervals := float64(elapsed) / float64(refreshInterval); intervals >= float64(source.movingAnswers) {
		t.Fatalf("%d questions took %.1f refresh intervals: each waited a whole one", source.requests.Load(), intervals)
	}
}

func TestDistrustedRouteIsAskedForAnew(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	source := &movingSource{}
	table := NewRouteTable(ctx, source)
	service := oneSlotService()
	target, err := table.Resolve(ctx, service, 0)
	if err != nil {
		t.Fatal(err)
	}
	before := source.requests.Load()
	table.MarkStale(target)
	if _, err := table.Resolve(ctx, service, 0); err != nil {
		t.Fatal(err)
	}
	if source.requests.Load() == before {
		t.Fatal("the route that a server refused was used again unasked")
	}
}
