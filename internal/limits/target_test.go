package limits

import (
	"fmt"
	"testing"
	"time"

	"kumquatcleat/internal/config"
)

// Targets that the users state.
const (
	targetP99         = 12 * time.Millisecond // at 0.7x of capacity, service time 1 ms
	targetGoodput     = 0.9                   // at 3x, of the goodput at 1x
	targetTries       = 1.1                   // per request in a brown-out
	targetServedAgain = 3 * time.Second       // after a loss
	loadOfTargetP99   = 0.7
	loadOfManyClasses = 1.5
)

// targetSeeds is how many runs a target must hold in whose figures vary most.
const targetSeeds = 4

// size is a server and the VMs that feed it.
type size struct{ slots, vms, backlog int }

func (s size) String() string {
	return fmt.Sprintf("slots=%d,vms=%d,backlog=%d", s.slots, s.vms, s.backlog)
}

// userSizes are both users' servers, with VMs as today; servers queue as much as
// they run, or as much as their connections allow.
var userSizes = []size{{6, 8, 6}, {6, 12, 6}, {6, 9, 124}, {3, 8, 3}, {3, 12, 3}, {3, 12, 42}}

func interactive(s scenario) *report {
	return play(s, benchSeed).reports[config.ClassInteractive]
}

func TestAnswersStayWithinTargetBelowCapacity(t *testing.T) {
	t.Parallel()
	for _, size := range userSizes {
		s := oneServer(DefaultSettings(), size.slots, size.vms, loadOfTargetP99)
		s.backlog = size.backlog
		if p99 := interactive(s).p99(); p99 > targetP99 {
			t.Errorf("%v: p99 %v at %.1fx, target %v", size, p99, s.load, targetP99)
		}
	}
}

func TestOverloadKeepsGoodputAndTries(t *testing.T) {
	t.Parallel()
	for _, size := range userSizes {
		s := oneServer(DefaultSettings(), size.slots, size.vms, 1)
		s.backlog = size.backlog
		full := interactive(s)
		s.load = 3
		over := interactive(s)
		before, after := full.share(full.good), 3*over.share(over.good)
		if after < targetGoodput*before {
			t.Errorf("%v: goodput %.3f at 3x, %.3f at 1x", size, after, before)
		}
		if tries := over.share(over.tries); tries > targetTries {
			t.Errorf("%v: %.3f tries a request at 3x, target %.1f", size, tries, targetTries)
		}
	}
}

func TestInteractiveKeepsItsP99BesideDeferredWork(t *testing.T) {
	t.Parallel()
	for _, size := range userSizes {
		s := oneServer(DefaultSettings(), size.slots, size.vms, loadOfManyClasses)
		s.backlog = size.backlog
		s.deferredShare = 1 - loadOfTargetP99/loadOfManyClasses
		for seed := range uint64(targetSeeds) {
			checkClasses(t, size, play(s, seed))
		}
	}
}

func checkClasses(t *testing.T, size size, b *bench) {
	t.Helper()
	if p99 := b.reports[config.ClassInteractive].p99(); p99 > targetP99 {
		t.Errorf("%v: interactive p99 %v at %.1fx, target %v", size, p99, b.load, targetP99)
	}
	deferred := b.reports[config.ClassDeferred]
	if ended := deferred.good + deferred.refused + deferred.shed; ended != deferred.offered || deferred.good == 0 {
		t.Errorf("%v: of %d deferred requests %d ran and %d were refused as not run",
			size, deferred.offered, deferred.good, deferred.refused+deferred.shed)
	}
}
