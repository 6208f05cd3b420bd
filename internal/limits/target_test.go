package limits

import (
	"fmt"
	"testing"
	"time"

	"kumquatcleat/internal/config"
)

// Targets.
const (
	targetP99         = 12 * time.Millisecond // at 0.7x of capacity, service time 1 ms
	targetGoodput     = 0.9                   // at 3x, of the goodput at 1x
	targetAttempts    = 1.1                   // per request during a fault or overload
	targetRecovery    = 3 * time.Second       // after a fault
	loadOfTargetP99   = 0.7                   // at which targetP99 applies
	loadOfBothClasses = 1.5                   // of interactive and deferred requests together
)

// targetSeeds is the number of seeds for the target whose figures vary most.
const targetSeeds = 4

// size is the size of a server and the number of VMs that send to it.
type size struct{ slots, vms, backlog int }

func (s size) String() string {
	return fmt.Sprintf("slots=%d,vms=%d,backlog=%d", s.slots, s.vms, s.backlog)
}

// serverSizes are server sizes and numbers of VMs. A server queues as many requests as
// it has slots, or as many as its connections allow.
var serverSizes = []size{{6, 8, 6}, {6, 12, 6}, {6, 9, 124}, {3, 8, 3}, {3, 12, 3}, {3, 12, 42}}

func interactive(s scenario) *report {
	return simulate(s, benchSeed).reports[config.ClassInteractive]
}

func TestLatencyWithinTargetBelowCapacity(t *testing.T) {
	t.Parallel()
	for _, size := range serverSizes {
		s := oneServer(DefaultSettings(), size.slots, size.vms, loadOfTargetP99)
		s.backlog = size.backlog
		if p99 := interactive(s).p99(); p99 > targetP99 {
			t.Errorf("%v: got p99 %v at %.1fx, want at most %v", size, p99, s.load, targetP99)
		}
	}
}

func TestOverloadKeepsGoodputAndTriesWithinTargets(t *testing.T) {
	t.Parallel()
	for _, size := range serverSizes {
		s := oneServer(DefaultSettings(), size.slots, size.vms, 1)
		s.backlog = size.backlog
		full := interactive(s)
		s.load = 3
		over := interactive(s)
		before, after := full.share(full.good), 3*over.share(over.good)
		if after < targetGoodput*before {
			t.Errorf("%v: got goodput %.3f at 3x, too far below %.3f at 1x", size, after, before)
		}
		if attempts := over.share(over.attempts); attempts > targetAttempts {
			t.Errorf("%v: got %.3f attempts per request at 3x, want at most %.1f", size, attempts, targetAttempts)
		}
	}
}

func TestInteractiveP99WithinTargetUnderDeferredLoad(t *testing.T) {
	t.Parallel()
	for _, size := range serverSizes {
		s := oneServer(DefaultSettings(), size.slots, size.vms, loadOfBothClasses)
		s.backlog = size.backlog
		s.deferredShare = 1 - loadOfTargetP99/loadOfBothClasses
		for seed := range uint64(targetSeeds) {
			checkClasses(t, size, simulate(s, seed))
		}
	}
}

func checkClasses(t *testing.T, size size, sim *simulation) {
	t.Helper()
	if p99 := sim.reports[config.ClassInteractive].p99(); p99 > targetP99 {
		t.Errorf("%v: got interactive p99 %v at %.1fx, want at most %v", size, p99, sim.load, targetP99)
	}
	deferred := sim.reports[config.ClassDeferred]
	if finished := deferred.good + deferred.refused + deferred.shed; finished != deferred.offered || deferred.good == 0 {
		t.Errorf("%v: of %d deferred requests %d succeeded and %d were refused; want the sum to match and at least one success",
			size, deferred.offered, deferred.good, deferred.refused+deferred.shed)
	}
}
