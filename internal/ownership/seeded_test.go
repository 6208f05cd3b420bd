package ownership

import "testing"

// Each SeededBug test sets one deliberate fault and fails unless the random walks,
// the exploration or the sequences find it: only then does their silence on the
// real code say anything.

// seededWalks bounds the walks that may go by before a seeded bug is found.
const seededWalks = 300

func requireFound(t *testing.T, opts walkOptions) {
	t.Helper()
	t.Parallel()
	opts.units = 400
	w, seed := findFault(1, seededWalks, opts)
	if w == nil {
		t.Fatalf("not found in %d walks", seededWalks)
	}
	t.Logf("seed %d: %v", seed, w.faults)
}

func TestSeededBugLeaseCountedFromTheSend(t *testing.T) {
	requireFound(t, walkOptions{flaws: injectedBugs{leaseFromSend: true}})
}

func TestSeededBugTakeoverWithoutWaiting(t *testing.T) {
	requireFound(t, walkOptions{flaws: injectedBugs{takeoverWithoutWait: true}})
}

func TestSeededBugLapseMoveWithoutTheStandby(t *testing.T) {
	requireFound(t, walkOptions{flaws: injectedBugs{lapseWithoutStandby: true}, outage: true})
}

func TestSeededBugTokenNotComparedAtTheServer(t *testing.T) {
	requireFound(t, walkOptions{deaf: true})
}

func TestSeededBugLateReturnCancelsAYoungerPromise(t *testing.T) {
	requireFound(t, walkOptions{flaws: injectedBugs{lateReturnCancels: true}})
}

func TestSeededBugUnansweredWriteForgotten(t *testing.T) {
	requireFound(t, walkOptions{flaws: injectedBugs{dropUnansweredWrite: true}})
}

func TestSeededBugEarlierRevokeCounts(t *testing.T) {
	requireFound(t, walkOptions{flaws: injectedBugs{anyRevokeCounts: true}})
}

func TestSeededBugKeeperDecidesAfterACession(t *testing.T) {
	requireFound(t, walkOptions{flaws: injectedBugs{decidesAfterCede: true}, reorder: true})
}

func TestSeededBugMovesKeepTheToken(t *testing.T) {
	requireFound(t, walkOptions{flaws: injectedBugs{movesKeepToken: true}})
}

// requireExplored fails unless the exploration finds the flaw within CI's bounds.
func requireExplored(t *testing.T, f injectedBugs, from start) {
	t.Helper()
	t.Parallel()
	result := explore(startWorld(from, f, false), ciUnits, ciChanges)
	if len(result.faults) == 0 {
		t.Fatalf("not found in %d states", len(result.seen))
	}
	t.Logf("%d states, path %v: %v", len(result.seen), result.path, result.faults)
}

func TestSeededBugTakeoverWithoutWaitingIsExplored(t *testing.T) {
	requireExplored(t, injectedBugs{takeoverWithoutWait: true}, startServed)
}

func TestSeededBugLapseMoveWithoutTheStandbyIsExplored(t *testing.T) {
	requireExplored(t, injectedBugs{lapseWithoutStandby: true}, startOutage)
}

func TestSeededBugMovesKeepTheTokenIsExplored(t *testing.T) {
	requireExplored(t, injectedBugs{movesKeepToken: true}, startServed)
}

func TestSeededBugHoldOverRenewsWhatTheRowNamesIsExplored(t *testing.T) {
	requireExplored(t, injectedBugs{holdOverFromRow: true}, startStale)
}

func TestSeededBugIsFoundBySequencesAndShrunk(t *testing.T) {
	f := injectedBugs{takeoverWithoutWait: true}
	result := sequenceProperty(f, exploredWorld(f)).Check(sequenceParameters())
	if result.Passed() {
		t.Fatal("not found")
	}
	t.Logf("shrunk to %v", result.Args)
}
