package routing

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/config"
)

// movingSource is a RouteSource whose first movingAnswers answers report the slot
// as moving.
type movingSource struct {
	requests      atomic.Int64
	movingAnswers int64
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

// While a request waits for the new owner of a slot, routes are fetched more often
// than once per refresh interval. The test fails only if the wait takes movingAnswers
// intervals or more.
func TestRoutesFetchedEarlyWhileRequestWaitsForMove(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	source := &movingSource{movingAnswers: 4}
	table := NewRouteTable(ctx, source)
	start := time.Now()
	target, err := table.Resolve(ctx, oneSlotService(), 0)
	if err != nil || target.Server.ID != "s1" {
		t.Fatalf("got target %+v, error %v, want server s1", target, err)
	}
	elapsed := time.Since(start)
	if intervals := float64(elapsed) / float64(refreshInterval); intervals >= float64(source.movingAnswers) {
		t.Fatalf("%d route requests took %.1f refresh intervals: each waited for a whole interval", source.requests.Load(), intervals)
	}
}

func TestStaleRouteIsFetchedAgain(t *testing.T) {
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
		t.Fatal("the stale route was used again without a new request to the keeper")
	}
}
