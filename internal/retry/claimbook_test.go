package retry

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func window() time.Duration { return DefaultClaimSettings().Window.Duration() }

func leadingBook(s ClaimSettings) *ClaimTable {
	b := NewClaimTable(s, OriginNewGroup, start)
	b.Lead()
	return b
}

func expectVerdict(t *testing.T, a BeginAnswer, want Verdict) {
	t.Helper()
	if a.Verdict != want {
		t.Fatalf("answer %+v, want verdict %d", a, want)
	}
}

func TestResentRequestIsADuplicateUntilTheWindowEnds(t *testing.T) {
	b := leadingBook(DefaultClaimSettings())
	expectVerdict(t, b.Begin("k", "r1", start), ClaimFirst)
	expectVerdict(t, b.Begin("k", "r1", start), ClaimFirst)
	answer := b.Begin("k", "r2", start)
	expectVerdict(t, answer, ClaimDuplicate)
	if answer.FirstRequestID != "r1" || answer.FirstFinished {
		t.Fatalf("answer %+v", answer)
	}
	b.Finish("k", "r1", start.Add(time.Minute))
	if answer = b.Begin("k", "r2", start.Add(window())); !answer.FirstFinished {
		t.Fatalf("answer %+v, want a finished duplicate", answer)
	}
	expectVerdict(t, b.Begin("k", "r2", start.Add(time.Minute+window())), ClaimFirst)
}

func TestNotRunFreesTheKeyForAnotherRequestOnly(t *testing.T) {
	b := leadingBook(DefaultClaimSettings())
	b.Begin("k", "r1", start)
	b.NotRun("k", "r1", start)
	expectVerdict(t, b.Begin("k", "r1", start), ClaimRefused)
	expectVerdict(t, b.Begin("k", "r2", start), ClaimFirst)
	b.NotRun("k", "r1", start) // late repeat
	expectVerdict(t, b.Begin("k", "r3", start), ClaimDuplicate)
}

func TestLateReplicaMessagesNeitherUnfinishNorResurrect(t *testing.T) {
	b := NewClaimTable(DefaultClaimSettings(), OriginNewGroup, start)
	b.NotRun("freed", "r1", start)
	b.Replicate("freed", "r1", start)
	b.Finish("done", "r2", start)
	b.Replicate("done", "r2", start)
	b.NotRun("done", "r2", start)
	b.Lead()
	expectVerdict(t, b.Begin("freed", "r3", start), ClaimFirst)
	if a := b.Begin("done", "r4", start); a.Verdict != ClaimDuplicate || !a.FirstFinished {
		t.Fatalf("answer %+v, want a finished duplicate", a)
	}
}

func TestBookThatLeadsTakesNoClaimFromItsPredecessor(t *testing.T) {
	b := NewClaimTable(DefaultClaimSettings(), OriginNewGroup, start)
	if !b.Replicate("k", "r1", start) {
		t.Fatal("a standby refused a claim")
	}
	expectVerdict(t, b.Begin("k", "r1", start), ClaimRefused)
	b.Lead()
	if b.Replicate("k2", "r2", start) {
		t.Fatal("a keeper took its predecessor's claim")
	}
	expectVerdict(t, b.Begin("k", "r3", start), ClaimDuplicate)
}

func TestFullBookRefusesAndKeepsEveryClaim(t *testing.T) {
	s := DefaultClaimSettings()
	s.Entries = 16
	b := leadingBook(s)
	for i := range s.Entries {
		expectVerdict(t, b.Begin(fmt.Sprint(i), "r", start), ClaimFirst)
	}
	expectVerdict(t, b.Begin("more", "r", start), ClaimRefused)
	for i := range s.Entries {
		expectVerdict(t, b.Begin(fmt.Sprint(i), "again", start), ClaimDuplicate)
	}
	expectVerdict(t, b.Begin("more", "r", start.Add(window())), ClaimFirst)
	if b.Len() != 1 {
		t.Fatalf("%d keys after the window, want 1", b.Len())
	}
}

func TestBookWithoutItsPredecessorsClaimsRefusesForTheWindow(t *testing.T) {
	b := NewClaimTable(DefaultClaimSettings(), OriginLost, start)
	b.Lead()
	expectVerdict(t, b.Begin("k", "r1", start.Add(window()-1)), ClaimRefused)
	expectVerdict(t, b.Begin("k", "r1", start.Add(window())), ClaimFirst)

	s := DefaultClaimSettings()
	s.OnLostClaims = LostClaimsAccept
	b = NewClaimTable(s, OriginLost, start)
	b.Lead()
	expectVerdict(t, b.Begin("k", "r1", start), ClaimFirst)
}

func TestSnapshotLetsANewStandbyJudge(t *testing.T) {
	keeper := leadingBook(DefaultClaimSettings())
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
	standby.Lead()
	expectVerdict(t, standby.Begin("k", "r3", start), ClaimDuplicate)
	expectVerdict(t, standby.Begin("freed", "r2", start), ClaimRefused)
	expectVerdict(t, standby.Begin("new", "r4", start), ClaimFirst)
	if err := standby.Restore([]byte("{"), start); err == nil {
		t.Fatal("a cut snapshot was taken")
	}
}

func TestSnapshotOfABlindBookStaysBlind(t *testing.T) {
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
	if blind := standby.IncompleteFor(now); blind != window()/2 {
		t.Fatalf("blind for %v, want %v", blind, window()/2)
	}
}

// BenchmarkClaim measures one whole claim at a keeper and the memory that it holds.
func BenchmarkClaim(b *testing.B) {
	s := DefaultClaimSettings()
	s.Entries = b.N + 16
	book := NewClaimTable(s, OriginNewGroup, start)
	book.Lead()
	ids := make([]string, b.N)
	for i := range ids {
		ids[i] = fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012d", i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, id := range ids {
		book.Begin(id, id, start)
		book.Finish(id, id, start)
	}
}
