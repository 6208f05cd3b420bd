package bench

import (
	"fmt"
	"io"

	"kumquatcleat/internal/standin"
)

// Rule names one invariant that a history must satisfy.
type Rule string

// The rules that Check checks.
const (
	RuleOwnAnswer  Rule = "own-answer"  // every answer is whole and belongs to its own request
	RuleNotRun     Rule = "not-run"     // a call that was refused as not-run has no run
	RuleOnce       Rule = "once"        // a non-idempotent request ran at most once
	RuleOneOwner   Rule = "one-owner"   // runs of a slot at two servers never overlap
	RuleTokenOrder Rule = "token-order" // the tokens of a slot's runs never decrease
	RuleLeaving    Rule = "leaving"     // a leaving server gets no new work after 3 s
	RuleCrashes    Rule = "crashes"     // calls with the crash header and the same service, kind and key crash servers at most twice in total
)

// Rules returns all rules, in the order of reports.
func Rules() []Rule {
	return []Rule{RuleOwnAnswer, RuleNotRun, RuleOnce, RuleOneOwner, RuleTokenOrder, RuleLeaving, RuleCrashes}
}

// Violation is one breach of a rule.
type Violation struct {
	Rule   Rule   `json:"rule"`
	Detail string `json:"detail"`
}

// CheckResult is the result of a check. Checked counts the items that each rule
// examined: a rule that examined nothing proves nothing.
type CheckResult struct {
	Checked    map[Rule]int `json:"checked"`
	Violations []Violation  `json:"violations"`
}

// OK reports whether no rule was broken.
func (r *CheckResult) OK() bool { return len(r.Violations) == 0 }

func (r *CheckResult) add(rule Rule, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

// Write prints the result as a table.
func (r *CheckResult) Write(w io.Writer) {
	broken := map[Rule]int{}
	for _, v := range r.Violations {
		broken[v.Rule]++
	}
	_, _ = fmt.Fprintf(w, "%-12s %10s %10s\n", "rule", "checked", "broken")
	for _, rule := range Rules() {
		_, _ = fmt.Fprintf(w, "%-12s %10d %10d\n", rule, r.Checked[rule], broken[rule])
	}
	const shown = 20
	for i, v := range r.Violations {
		if i == shown {
			_, _ = fmt.Fprintf(w, "... and %d more\n", len(r.Violations)-shown)
			return
		}
		_, _ = fmt.Fprintf(w, "%s: %s\n", v.Rule, v.Detail)
	}
}

// Check compares what callers saw with what servers ran.
func Check(h *History) *CheckResult {
	result := &CheckResult{Checked: map[Rule]int{}}
	checkAnswers(h, result)
	checkNotRun(h, result)
	checkOnce(h, result)
	checkOwners(h, result)
	checkLeaving(h, result)
	checkCrashes(h, result)
	return result
}

// checkAnswers checks every response that claimed to be an answer. The server
// that it names must also have recorded a completed run of the call.
func checkAnswers(h *History, result *CheckResult) {
	ran := map[string]map[string]bool{} // by call: the servers that completed it
	for i := range h.Runs {
		run := &h.Runs[i]
		if run.Outcome != standin.RunDone {
			continue
		}
		if ran[run.Call] == nil {
			ran[run.Call] = map[string]bool{}
		}
		ran[run.Call][run.Server] = true
	}
	for i := range h.Calls {
		call := &h.Calls[i]
		switch {
		case call.Outcome == CallWrong:
			result.Checked[RuleOwnAnswer]++
			result.add(RuleOwnAnswer, "call %s: %s", call.ID, call.Detail)
		case call.Outcome == CallAnswered:
			result.Checked[RuleOwnAnswer]++
			if len(h.Info.Servers) > 0 && !ran[call.ID][call.Server] {
				result.add(RuleOwnAnswer, "call %s: server %s answered but recorded no completed run", call.ID, call.Server)
			}
		}
	}
}

// checkNotRun checks that no server started a call that was refused as not-run.
func checkNotRun(h *History, result *CheckResult) {
	started := startedByCall(h.Runs)
	for i := range h.Calls {
		call := &h.Calls[i]
		if call.Outcome != CallNotRun {
			continue
		}
		result.Checked[RuleNotRun]++
		for _, run := range started[call.ID] {
			result.add(RuleNotRun, "call %s (%s) was refused as not-run, but server %s started it %.1f ms %s the refusal",
				call.ID, call.Refusal, run.Server, distanceMS(run.StartNS, call.AnsweredNS), beforeOrAfter(run.StartNS, call.AnsweredNS))
		}
	}
}

func distanceMS(a, b int64) float64 {
	if a < b {
		a, b = b, a
	}
	return float64(a-b) / 1e6
}

func beforeOrAfter(a, b int64) string {
	if a < b {
		return "before"
	}
	return "after"
}

func startedByCall(runs []standin.RunRecord) map[string][]*standin.RunRecord {
	started := map[string][]*standin.RunRecord{}
	for i := range runs {
		run := &runs[i]
		if run.Outcome != standin.RunRefused && run.Call != "" {
			started[run.Call] = append(started[run.Call], run)
		}
	}
	return started
}

// checkOnce checks that each non-idempotent request ran at most once, over all
// calls with its idempotency key, or the single call if it has no key. A run that
// was canceled, cut off or lost counts: it may have had its effect.
func checkOnce(h *History, result *CheckResult) {
	started := startedByCall(h.Runs)
	runs := map[string][]*standin.RunRecord{}
	for i := range h.Calls {
		call := &h.Calls[i]
		if !call.NonIdempotent {
			continue
		}
		request := call.IdempotencyKey
		if request == "" {
			request = call.ID
		}
		runs[request] = append(runs[request], started[call.ID]...)
	}
	for request, all := range runs {
		result.Checked[RuleOnce]++
		if len(all) <= 1 {
			continue
		}
		detail := ""
		for _, run := range all {
			detail += fmt.Sprintf(" %s(call %s, %s at %d)", run.Server, run.Call, run.Outcome, run.StartNS)
		}
		result.add(RuleOnce, "request %s ran %d times:%s", request, len(all), detail)
	}
}
