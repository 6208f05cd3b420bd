package bench

import (
	"strings"
	"testing"

	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/standin"
)

// validHistory returns a small history that satisfies every rule: slot 1 moves
// from s1 to s2 under a higher token, one call is refused, one is sent twice and
// runs once.
func validHistory() *History {
	run := func(call, server, token string, start, end int64) standin.RunRecord {
		return standin.RunRecord{
			Server: server, Incarnation: server + "-1", Number: uint64(start), Call: call,
			Group: "g", HasSlot: true, Slot: 1, Token: token,
			StartNS: start, EndNS: end, Outcome: standin.RunDone,
		}
	}
	answered := func(id, server string) Call {
		return Call{ID: id, Outcome: CallAnswered, Server: server, AnsweredNS: 1000}
	}
	once := answered("c3", "s2")
	once.NonIdempotent, once.IdempotencyKey = true, "k3"
	repeat := Call{ID: "c4", ResendOf: "c3", NonIdempotent: true, IdempotencyKey: "k3", Outcome: CallUnknown, Refusal: fault.DuplicateRequest}
	return &History{
		Info: RunInfo{EndNS: 2 * leavingGraceNS, Servers: []ServerInfo{{ID: "s1", Checks: true}, {ID: "s2", Checks: true}}},
		Calls: []Call{
			answered("c1", "s1"), answered("c2", "s1"), once, repeat,
			{ID: "c5", Outcome: CallNotRun, Refusal: fault.Overloaded, AnsweredNS: 1000},
			{ID: "c6", Kind: "poison", Crash: true, Outcome: CallUnknown},
		},
		Runs: []standin.RunRecord{
			run("c1", "s1", "1.0", 10, 30),
			run("c2", "s1", "1.0", 20, 40),
			run("c3", "s2", "1.1", 50, 60),
			{Server: "s1", Call: "c5", Outcome: standin.RunRefused, Reason: "shed", StartNS: 70, EndNS: 70},
			{Server: "s3", Call: "c6", Outcome: standin.RunCrashed, StartNS: 70, EndNS: 71},
			{Server: "s3", Call: "c6", Outcome: standin.RunCrashed, StartNS: 80, EndNS: 81},
		},
		Faults: []FaultRecord{{Fault: Fault{Process: "s1", Do: ActLeave}, AtNS: 100}},
	}
}

func TestValidHistoryPassesAndExercisesEveryRule(t *testing.T) {
	result := Check(validHistory())
	if !result.OK() {
		t.Fatalf("got violations %+v, want none", result.Violations)
	}
	for _, rule := range Rules() {
		if result.Checked[rule] == 0 {
			t.Errorf("rule %s examined nothing", rule)
		}
	}
}

// Each case changes one thing in the valid history.
func TestEachRuleDetectsItsViolation(t *testing.T) {
	cases := []struct {
		name   string
		mutate func(h *History)
		rule   Rule
	}{
		{"answer of another call", func(h *History) { h.Calls[0].Outcome = CallWrong }, RuleOwnAnswer},
		{"answer without a run", func(h *History) { h.Calls[0].Server = "s2" }, RuleOwnAnswer},
		{"answer of a run that was cut off", func(h *History) { h.Runs[0].Outcome = standin.RunLeaseExpired }, RuleOwnAnswer},
		{"refused as not-run, but ran before", func(h *History) { h.Runs[0].Call = "c5"; h.Calls[0].Outcome = CallLost }, RuleNotRun},
		{"refused as not-run, but ran later", func(h *History) {
			late := h.Runs[2]
			late.Call, late.StartNS, late.EndNS = "c5", 2000, 2010
			h.Runs = append(h.Runs, late)
		}, RuleNotRun},
		{"resent call ran too", func(h *History) {
			second := h.Runs[2]
			second.Call, second.StartNS, second.EndNS = "c4", 80, 90
			h.Runs = append(h.Runs, second)
		}, RuleOnce},
		{"one call ran twice", func(h *History) {
			second := h.Runs[2]
			second.StartNS, second.EndNS, second.Outcome = 80, 90, standin.RunCrashed
			h.Runs = append(h.Runs, second)
		}, RuleOnce},
		{"two owners at the same time", func(h *History) { h.Runs[2].StartNS = 39 }, RuleOneOwner},
		{"owner whose run outlasts the next owner", func(h *History) { h.Runs[0].EndNS = 100 }, RuleOneOwner},
		{"leaving server is sent new work", func(h *History) {
			late := h.Runs[3]
			late.StartNS = 101 + leavingGraceNS
			h.Runs = append(h.Runs, late)
		}, RuleLeaving},
		{"request causes a third crash", func(h *History) {
			h.Calls = append(h.Calls, Call{ID: "c7", Kind: "poison", Crash: true, Outcome: CallLost})
			third := h.Runs[4]
			third.Call = "c7"
			h.Runs = append(h.Runs, third)
		}, RuleCrashes},
		{"token decreases", func(h *History) { h.Runs[2].Token = "0.9" }, RuleTokenOrder},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := validHistory()
			c.mutate(h)
			result := Check(h)
			found := map[Rule]bool{}
			for _, v := range result.Violations {
				found[v.Rule] = true
			}
			if len(found) != 1 || !found[c.rule] {
				t.Fatalf("got violations %+v, want violations of rule %s only", result.Violations, c.rule)
			}
		})
	}
}

// A server that does not check tokens may run under an older token, but never at
// the same time as another server.
func TestOverlapFoundAndTokenOrderIgnoredWithoutTokenChecks(t *testing.T) {
	h := validHistory()
	h.Info.Servers = []ServerInfo{{ID: "s1"}, {ID: "s2"}}
	h.Runs[2].Token = "0.9"
	if result := Check(h); !result.OK() {
		t.Fatalf("got violations %+v for an older token, want none", result.Violations)
	}
	h.Runs[2].StartNS = 39
	if result := Check(h); result.OK() {
		t.Fatal("got no violation for two owners at the same time, want one")
	}
}

func TestNewWorkOfServerThatReportsDrainingIsFound(t *testing.T) {
	h := validHistory()
	h.Faults = []FaultRecord{
		{Fault: Fault{Standin: "s2", Switches: []byte(`{"draining":true}`)}, AtNS: 100},
		{Fault: Fault{Standin: "s2", Switches: []byte(`{}`)}, AtNS: 100 + leavingGraceNS + 50},
	}
	late := h.Runs[2]
	late.Call, late.StartNS = "", 100+leavingGraceNS+60
	h.Runs = append(h.Runs, late)
	if result := Check(h); !result.OK() || result.Checked[RuleLeaving] != 1 {
		t.Fatalf("got %+v for a run after the server stopped draining, want no violation and 1 checked", result)
	}
	h.Runs[len(h.Runs)-1].StartNS -= 20
	if result := Check(h); result.OK() {
		t.Fatal("got no violation for new work of a draining server, want one")
	}
}

func TestBackToBackOwnersAreNoOverlap(t *testing.T) {
	h := validHistory()
	h.Runs[2].StartNS = 40
	if result := Check(h); !result.OK() {
		t.Fatalf("got violations %+v, want none", result.Violations)
	}
}

// A run without an end record must not seem to outlast its killed server, nor to
// end before that server was last known to be alive.
func TestRunOfKilledServerEndsAtLastRecordOfIncarnation(t *testing.T) {
	lines := []standin.RunRecord{
		{Server: "s1", Incarnation: "i1", Number: 1, StartNS: 10, Outcome: standin.RunStarted},
		{Server: "s1", Incarnation: "i1", Number: 2, StartNS: 20, Outcome: standin.RunStarted},
		{Server: "s1", Incarnation: "i1", Number: 2, StartNS: 20, EndNS: 30, Outcome: standin.RunDone},
		{Server: "s1", Incarnation: "i2", Number: 1, StartNS: 90, EndNS: 95, Outcome: standin.RunDone},
	}
	runs := foldRuns(lines)
	if len(runs) != 3 {
		t.Fatalf("got runs %+v, want 3", runs)
	}
	if runs[0].Outcome != standin.RunCrashed || runs[0].EndNS != 30 {
		t.Fatalf("got run of the killed server %+v, want outcome crashed and end 30", runs[0])
	}
}

func TestTruncatedLastLineIsSkipped(t *testing.T) {
	lines := `{"server":"s1","number":1}` + "\n" + `{"server":"s1","num`
	runs, err := parseLines[standin.RunRecord](strings.NewReader(lines))
	if err != nil || len(runs) != 1 {
		t.Fatalf("got runs %+v, error %v, want 1 run and no error", runs, err)
	}
	if _, err := parseLines[standin.RunRecord](strings.NewReader("{\n")); err == nil {
		t.Fatal("got no error for a malformed complete line, want one")
	}
}

func FuzzParseLines(f *testing.F) {
	f.Add(`{"server":"s1","number":1,"token":"1.0","has_slot":true}` + "\n" + `{"server":"s1","num`)
	f.Add("\n")
	f.Fuzz(func(t *testing.T, data string) {
		runs, err := parseLines[standin.RunRecord](strings.NewReader(data))
		if err != nil {
			return
		}
		if lines := strings.Count(data, "\n"); len(runs) != lines {
			t.Fatalf("got %d records from %d lines, want one per line", len(runs), lines)
		}
		Check(&History{Runs: foldRuns(runs)})
	})
}
