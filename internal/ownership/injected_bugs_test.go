package ownership

import "testing"

// Each test injects one bug and fails unless the random walks, the state-space
// exploration or the random change sequences detect it. Otherwise their passing on the
// real code would prove nothing.

// maxWalksPerBug is the number of random walks within which a bug must be detected.
const maxWalksPerBug = 300

// requireWalksDetect fails unless a random walk with these options detects a violation.
func requireWalksDetect(t *testing.T, opts walkOptions) {
	t.Helper()
	t.Parallel()
	opts.units = 400
	w, seed := findViolation(1, maxWalksPerBug, opts)
	if w == nil {
		t.Fatalf("got no violation in %d random walks, want one", maxWalksPerBug)
	}
	t.Logf("seed %d: %v", seed, w.violations)
}

func TestWalksDetectLeaseCountedFromSend(t *testing.T) {
	requireWalksDetect(t, walkOptions{bugs: injectedBugs{leaseFromSend: true}})
}

func TestWalksDetectTakeoverWithoutWait(t *testing.T) {
	requireWalksDetect(t, walkOptions{bugs: injectedBugs{takeoverWithoutWait: true}})
}

func TestWalksDetectMoveByLapseWithoutStandby(t *testing.T) {
	requireWalksDetect(t, walkOptions{bugs: injectedBugs{lapseWithoutStandby: true}, outage: true})
}

func TestWalksDetectServerIgnoringTokens(t *testing.T) {
	requireWalksDetect(t, walkOptions{ignoreTokens: true})
}

func TestWalksDetectLateReturnCancelingNewerPromise(t *testing.T) {
	requireWalksDetect(t, walkOptions{bugs: injectedBugs{lateReturnCancels: true}})
}

func TestWalksDetectDroppedUnansweredWrite(t *testing.T) {
	requireWalksDetect(t, walkOptions{bugs: injectedBugs{dropUnansweredWrite: true}})
}

func TestWalksDetectEarlierRevokeCountedForLaterMove(t *testing.T) {
	requireWalksDetect(t, walkOptions{bugs: injectedBugs{anyRevokeCounts: true}})
}

func TestWalksDetectKeeperDecidingAfterCede(t *testing.T) {
	requireWalksDetect(t, walkOptions{bugs: injectedBugs{decidesAfterCede: true}, reorderCandidates: true})
}

func TestWalksDetectMoveKeepingToken(t *testing.T) {
	requireWalksDetect(t, walkOptions{bugs: injectedBugs{movesKeepToken: true}})
}

// requireExplorationDetects fails unless the exploration detects the bug within the
// bounds of CI.
func requireExplorationDetects(t *testing.T, bugs injectedBugs, from startState) {
	t.Helper()
	t.Parallel()
	result := explore(startWorld(from, bugs, false), ciUnits, ciChanges)
	if len(result.violations) == 0 {
		t.Fatalf("got no violation in %d states, want one", len(result.seen))
	}
	t.Logf("%d states, path %v: %v", len(result.seen), result.path, result.violations)
}

func TestExplorationDetectsTakeoverWithoutWait(t *testing.T) {
	requireExplorationDetects(t, injectedBugs{takeoverWithoutWait: true}, startServed)
}

func TestExplorationDetectsMoveByLapseWithoutStandby(t *testing.T) {
	requireExplorationDetects(t, injectedBugs{lapseWithoutStandby: true}, startOutage)
}

func TestExplorationDetectsMoveKeepingToken(t *testing.T) {
	requireExplorationDetects(t, injectedBugs{movesKeepToken: true}, startServed)
}

func TestExplorationDetectsHoldOverGrantingFromRow(t *testing.T) {
	requireExplorationDetects(t, injectedBugs{holdOverFromRow: true}, startStale)
}

func TestPropertyTestDetectsTakeoverWithoutWait(t *testing.T) {
	bugs := injectedBugs{takeoverWithoutWait: true}
	result := sequenceProperty(bugs, exploredWorld(bugs)).Check(sequenceParameters())
	if result.Passed() {
		t.Fatal("got no violation in the change sequences, want one")
	}
	t.Logf("violation found; sequence shrunk to %v", result.Args)
}
