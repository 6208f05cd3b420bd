package ownership

import "testing"

// Each SeededBug test sets one deliberate fault and fails unless the random walks
// find it: only then does their silence on the real code say anything.

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
	requireFound(t, walkOptions{flaws: flaws{leaseFromSend: true}})
}

func TestSeededBugTakeoverWithoutWaiting(t *testing.T) {
	requireFound(t, walkOptions{flaws: flaws{takeoverWithoutWait: true}})
}

func TestSeededBugLapseMoveWithoutTheStandby(t *testing.T) {
	requireFound(t, walkOptions{flaws: flaws{lapseWithoutStandby: true}, outage: true})
}

func TestSeededBugTokenNotComparedAtTheServer(t *testing.T) {
	requireFound(t, walkOptions{deaf: true})
}

func TestSeededBugLateReturnCancelsAYoungerPromise(t *testing.T) {
	requireFound(t, walkOptions{flaws: flaws{lateReturnCancels: true}})
}

func TestSeededBugUnansweredWriteForgotten(t *testing.T) {
	requireFound(t, walkOptions{flaws: flaws{forgetUnansweredOpen: true}})
}

func TestSeededBugEarlierRevokeCounts(t *testing.T) {
	requireFound(t, walkOptions{flaws: flaws{anyRevokeCounts: true}})
}

func TestSeededBugMovesKeepTheToken(t *testing.T) {
	requireFound(t, walkOptions{flaws: flaws{movesKeepToken: true}})
}
