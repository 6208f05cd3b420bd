package bench

import (
	"encoding/json"

	"kumquatcleat/internal/standin"
)

// leavingGraceNS is how long a server may still be sent new work after it starts
// leaving.
const leavingGraceNS = int64(3e9)

// leavingPeriod is a time during which a server is leaving, CLOCK_MONOTONIC ns.
type leavingPeriod struct {
	server   string
	from, to int64 // to: when it stopped leaving, or the end of the run
}

// leavingPeriods derives from the injected faults when servers were leaving:
// marked so in the platform's list, or draining by their own report.
func leavingPeriods(h *History) []leavingPeriod {
	var periods []leavingPeriod
	open := map[string]int{} // by server: index in periods
	for _, fault := range h.Faults {
		server, leaves := fault.Process, fault.Do == ActLeave
		if fault.Standin != "" {
			server, leaves = fault.Standin, drains(fault.Switches)
		}
		if server == "" || fault.Error != "" {
			continue
		}
		i, leaving := open[server]
		switch {
		case leaves && !leaving:
			open[server] = len(periods)
			periods = append(periods, leavingPeriod{server: server, from: fault.AtNS, to: h.Info.EndNS})
		case !leaves && leaving:
			periods[i].to = fault.AtNS
			delete(open, server)
		}
	}
	return periods
}

func drains(serverFaults json.RawMessage) bool {
	var faults standin.ServerFaults
	return json.Unmarshal(serverFaults, &faults) == nil && faults.Draining
}

// checkLeaving finds requests that reached a server that had been leaving for
// longer than the grace period. A request that the server refused counts too: it
// was sent there.
func checkLeaving(h *History, result *CheckResult) {
	for _, p := range leavingPeriods(h) {
		if p.to-p.from <= leavingGraceNS || !isServer(h, p.server) {
			continue
		}
		result.Checked[RuleLeaving]++
		for i := range h.Runs {
			run := &h.Runs[i]
			if run.Server == p.server && run.StartNS > p.from+leavingGraceNS && run.StartNS < p.to {
				result.add(RuleLeaving, "server %s received call %s (%s) %.1f s after it started leaving",
					p.server, run.Call, run.Outcome, float64(run.StartNS-p.from)/1e9)
			}
		}
	}
}

func isServer(h *History, id string) bool {
	for _, server := range h.Info.Servers {
		if server.ID == id {
			return true
		}
	}
	return false
}

// maxCrashes is how many crashes of servers the calls with the crash header and the
// same service, kind and key may cause together.
const maxCrashes = 2

// checkCrashes counts the crashes caused by all calls with the crash header that
// have the same service, kind and key.
func checkCrashes(h *History, result *CheckResult) {
	type request struct{ service, kind, key string }
	requests := map[string]request{} // by call
	crashes := map[request]int{}
	for i := range h.Calls {
		call := &h.Calls[i]
		if call.Crash {
			requests[call.ID] = request{call.Service, call.Kind, call.Key}
			crashes[requests[call.ID]] += 0
		}
	}
	for i := range h.Runs {
		run := &h.Runs[i]
		if r, ok := requests[run.Call]; ok && run.Outcome == standin.RunCrashed {
			crashes[r]++
		}
	}
	for r, count := range crashes {
		result.Checked[RuleCrashes]++
		if count > maxCrashes {
			result.add(RuleCrashes, "%s request for key %q of service %s crashed servers %d times", r.kind, r.key, r.service, count)
		}
	}
}
