package retry

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func window() time.Duration { return DefaultClaimSettings().Window.Duration() }

func newKeeperTable(s ClaimSettings) *ClaimTable {
	table := NewClaimTable(s, OriginNewGroup, start)
	table.BecomeKeeper()
	return table
}

func expectVerdict(t *testing.T, a BeginAnswer, want Verdict) {
	t.Helper()
	if a.Verdict != want {
		t.Fatalf("got answer %+v, want verdict %d", a, want)
	}
}

func TestResentRequestIsDuplicateUntilWindowEnds(t *testing.T) {
	table := newKeeperTable(DefaultClaimSettings())
	expectVerdict(t, table.Begin("k", "r1", start), ClaimFirst)
	expectVerdict(t, table.Begin("k", "r1", start), ClaimFirst)
	answer := table.Begin("k", "r2", start)
	expectVerdict(t, answer, ClaimDuplicate)
	if answer.FirstRequestID != "r1" || answer.FirstFinished {
		t.Fatalf("got answer %+v, want an unfinished duplicate of r1", answer)
	}
	table.Finish("k", "r1", start.Add(time.Minute))
	if answer = table.Begin("k", "r2", start.Add(window())); !answer.FirstFinished {
		t.Fatalf("got answer %+v, want a finished duplicate", answer)
	}
	expectVerdict(t, table.Begin("k", "r2", start.Add(time.Minute+window())), ClaimFirst)
}

func TestNotRunReleasesKeyOnlyForOtherRequests(t *testing.T) {
	table := newKeeperTable(DefaultClaimSettings())
	table.Begin("k", "r1", start)
	table.NotRun("k", "r1", start)
	expectVerdict(t, table.Begin("k", "r1", start), ClaimRefused)
	expectVerdict(t, table.Begin("k", "r2", start), ClaimFirst)
	table.NotRun("k", "r1", start) // delayed duplicate message
	expectVerdict(t, table.Begin("k", "r3", start), ClaimDuplicate)
}

func TestLateReplicaMessagesDoNotUndoFinalStates(t *testing.T) {
	table := NewClaimTable(DefaultClaimSettings(), OriginNewGroup, start)
	table.NotRun("freed", "r1", start)
	table.Replicate("freed", "r1", start)
	table.Finish("done", "r2", start)
	table.Replicate("done", "r2", start)
	table.NotRun("done", "r2", start)
	table.BecomeKeeper()
	expectVerdict(t, table.Begin("freed", "r3", start), ClaimFirst)
	if a := table.Begin("done", "r4", start); a.Verdict != ClaimDuplicate || !a.FirstFinished {
		t.Fatalf("got answer %+v, want a finished duplicate", a)
	}
}

func TestKeeperRejectsReplicationFromPredecessor(t *testing.T) {
	table := NewClaimTable(DefaultClaimSettings(), OriginNewGroup, start)
	if !table.Replicate("k", "r1", start) {
		t.Fatal("Replicate at the standby returned false, want true")
	}
	expectVerdict(t, table.Begin("k", "r1", start), ClaimRefused)
	table.BecomeKeeper()
	if table.Replicate("k2", "r2", start) {
		t.Fatal("Replicate at the keeper returned true, want false")
	}
	expectVerdict(t, table.Begin("k", "r3", start), ClaimDuplicate)
}

func TestFullClaimTableRefusesNewKeysAndKeepsExisting(t *testing.T) {
	s := DefaultClaimSettings()
	s.Entries = 16
	table := newKeeperTable(s)
	for i := range s.Entries {
		expectVerdict(t, table.Begin(fmt.Sprint(i), "r", start), ClaimFirst)
	}
	expectVerdict(t, table.Begin("more", "r", start), ClaimRefused)
	for i := range s.Entries {
		expectVerdict(t, table.Begin(fmt.Sprint(i), "again", start), ClaimDuplicate)
	}
	expectVerdict(t, table.Begin("more", "r", start.Add(window())), ClaimFirst)
	if table.Len() != 1 {
		t.Fatalf("got %d keys after the window, want 1", table.Len())
	}
}

func TestTableWithLostClaimsRefusesForOneWindow(t *testing.T) {
	table := NewClaimTable(DefaultClaimSettings(), OriginLost, start)
	table.BecomeKeeper()
	expectVerdict(t, table.Begin("k", "r1", start.Add(window()-1)), ClaimRefused)
	expectVerdict(t, table.Begin("k", "r1", start.Add(window())), ClaimFirst)

	s := DefaultClaimSettings()
	s.OnLostClaims = LostClaimsAccept
	table = NewClaimTable(s, OriginLost, start)
	table.BecomeKeeper()
	expectVerdict(t, table.Begin("k", "r1", start), ClaimFirst)
}

func TestRestoredSnapshotMakesStandbyComplete(t *testing.T) {
	keeper := newKeeperTable(DefaultClaimSettings())
	keeper.Begin("k", "r1", start)
	keeper.Begin("freed", "r2", start)
	keeper.NotRun("freed", "r2", start)
	standby := NewClaimTable(DefaultClaimSettings(), OriginLost, start)
	data, err := keeper.Snapshot(start)
	if err != nil {
		t.Fatal(err)
	}
	if err := standby.Restore(data, start); err != nil {
		t.Fatal(err)
	}
	standby.BecomeKeeper()
	expectVerdict(t, standby.Begin("k", "r3", start), ClaimDuplicate)
	expectVerdict(t, standby.Begin("freed", "r2", start), ClaimRefused)
	expectVerdict(t, standby.Begin("new", "r4", start), ClaimFirst)
	if err := standby.Restore([]byte("{"), start); err == nil {
		t.Fatal("Restore of a truncated snapshot succeeded, want an error")
	}
}

func TestSnapshotOfIncompleteTableStaysIncomplete(t *testing.T) {
	keeper := NewClaimTable(DefaultClaimSettings(), OriginLost, start)
	now := start.Add(window() / 2)
	data, err := keeper.Snapshot(now)
	if err != nil {
		t.Fatal(err)
	}
	standby := NewClaimTable(DefaultClaimSettings(), OriginLost, now)
	if err := standby.Restore(data, now); err != nil {
		t.Fatal(err)
	}
	if got := standby.IncompleteFor(now); got != window()/2 {
		t.Fatalf("incomplete for %v, want %v", got, window()/2)
	}
}

// BenchmarkClaim measures the time and memory of one Begin and Finish at a keeper.
func BenchmarkClaim(b *testing.B) {
	s := DefaultClaimSettings()
	s.Entries = b.N + 16
	table := NewClaimTable(s, OriginNewGroup, start)
	table.BecomeKeeper()
	ids := make([]string, b.N)
	for i := range ids {
		ids[i] = fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012d", i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, id := range ids {
		table.Begin(id, id, start)
		table.Finish(id, id, start)
	}
}
