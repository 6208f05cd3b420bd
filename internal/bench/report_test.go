package bench

import (
	"testing"
	"time"

	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/standin"
)

const testMS = int64(time.Millisecond)

func testCall(outcome CallOutcome, intendedMS, answeredMS int64) Call {
	return Call{Service: "s", Key: "k1", Kind: "read", Outcome: outcome, IntendedNS: intendedMS * testMS, AnsweredNS: answeredMS * testMS}
}

// testInfo describes a load of 3 s, over which a key needs 3 calls to count.
func testInfo() RunInfo {
	return RunInfo{Scenario: Scenario{DurationMS: 3000, Services: []Traffic{{Service: "s"}}}}
}

func TestKeyIsUnavailableFromRefusalUntilNextAnswer(t *testing.T) {
	calls := []Call{
		testCall(CallAnswered, 0, 1),
		testCall(CallNotRun, 500, 501),
		testCall(CallLost, 1000, 1250),
		testCall(CallAnswered, 1500, 1510),
		testCall(CallAnswered, 2000, 2010),
	}
	got := unavailable(calls, testInfo())
	if got.LongestMS != 1010 || got.KeySeconds != 1.01 || got.KeysSeen != 1 {
		t.Fatalf("got %+v, want LongestMS 1010, KeySeconds 1.01, KeysSeen 1", got)
	}
}

func TestKeyIsUnavailableUntilEndOfLoadWithoutAnotherAnswer(t *testing.T) {
	calls := []Call{testCall(CallAnswered, 0, 1), testCall(CallAnswered, 1, 2), testCall(CallUnknown, 2000, 2100)}
	got := unavailable(calls, testInfo())
	if got.LongestMS != 1000 {
		t.Fatalf("got %+v, want LongestMS 1000", got)
	}
}

func TestAnswerSlowerThanOneSecondCountsAsUnavailable(t *testing.T) {
	calls := []Call{testCall(CallAnswered, 0, 999), testCall(CallAnswered, 1000, 3000), testCall(CallNotRun, 2000, 2001), testCall(CallAnswered, 2500, 2600)}
	got := unavailable(calls, testInfo())
	if got.KeySeconds != 2 { // 1000 to 3000; 2000 to 2600 lies within
		t.Fatalf("got %+v, want KeySeconds 2", got)
	}
}

func TestRarelyCalledKeyIsNotCountedAsUnavailable(t *testing.T) {
	calls := []Call{testCall(CallNotRun, 0, 1), testCall(CallAnswered, 2900, 2901)}
	if got := unavailable(calls, testInfo()); got.KeysSeen != 0 || got.KeySeconds != 0 {
		t.Fatalf("got %+v, want KeysSeen 0 and KeySeconds 0", got)
	}
}

func TestLatencyIsMeasuredFromIntendedSend(t *testing.T) {
	call := testCall(CallAnswered, 100, 350)
	call.SentNS = 340 * testMS
	reports := latencies([]Call{call})
	if len(reports) != 1 || reports[0].P50MS < 249 || reports[0].P50MS > 251 {
		t.Fatalf("got %+v, want one report with P50MS of about 250", reports)
	}
}

func TestReportCountsChangesImbalanceAndTries(t *testing.T) {
	run := func(server string, start int64, outcome standin.RunOutcome) standin.RunRecord {
		return standin.RunRecord{Server: server, Key: "k1", Group: "g", HasSlot: true, Slot: 1, Token: "1.0", StartNS: start, EndNS: start + 1, Outcome: outcome}
	}
	info := testInfo()
	info.Servers = []ServerInfo{{ID: "a", Service: "s", Slots: 2}, {ID: "b", Service: "s", Slots: 1}}
	refused := testCall(CallNotRun, 3, 4)
	refused.Refusal = fault.Overloaded
	h := &History{
		Info:  info,
		Calls: []Call{testCall(CallAnswered, 1, 2), testCall(CallAnswered, 2, 3), refused, testCall(CallAnswered, 4, 5)},
		Runs: []standin.RunRecord{
			run("a", 1, standin.RunDone), run("b", 5, standin.RunDone), run("a", 9, standin.RunDone),
			run("b", 12, standin.RunRefused), run("b", 13, standin.RunDone), run("b", 15, standin.RunDone),
		},
	}
	got := MakeReport(h).Services[0]
	if got.Changes != 3 || got.ChangedSlots != 1 || got.SlotsSeen != 1 {
		t.Errorf("got %d changes, share %v of %d slots, want 3 changes, share 1 of 1 slot", got.Changes, got.ChangedSlots, got.SlotsSeen)
	}
	if got.Imbalance != 1.5 { // per slot: a 1, b 3, mean 2
		t.Errorf("got imbalance %v, want 1.5", got.Imbalance)
	}
	if got.Floor != 1.25 { // k1 has 5 runs at best on 2 slots: 2.5 over the mean of 2
		t.Errorf("got floor %v, want 1.25", got.Floor)
	}
	if got.Tries != 1.5 { // 6 runs and refusals for 4 calls
		t.Errorf("got tries %v, want 1.5", got.Tries)
	}
	if got.Refusals[fault.Overloaded] != 1 || got.Outcomes[CallAnswered] != 3 {
		t.Errorf("got refusals %v, outcomes %v, want 1 overloaded, 3 answered", got.Refusals, got.Outcomes)
	}
}
