package bench

import (
	"encoding/json"

	"kumquatcleat/internal/standin"
)

// leavingGraceNS is how long after it began to leave a server may still be sent
// new work.
const leavingGraceNS = int64(3e9)

// departure is a time in which a server is leaving, CLOCK_MONOTONIC ns.
type departure struct {
	server   string
	from, to int64 // to: when it stayed again, or the end of the run
}

// departures reads from the injected faults when servers were leaving: on the
// platform's list, or draining by their own word.
func departures(h *History) []departure {
	var all []departure
	open := map[string]int{} // by server: index in all
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
			open[server] = len(all)
			all = append(all, departure{server: server, from: fault.AtNS, to: h.Info.EndNS})
		case !leaves && leaving:
			all[i].to = fault.AtNS
			delete(open, server)
		}
	}
	return all
}

func drains(switches json.RawMessage) bool {
	var faults standin.ServerFaults
	return json.Unmarshal(switches, &faults) == nil && faults.Draining
}

// checkLeaving looks at what reached a server that had been leaving for longer
// than the grace. A request that it refused counts too: it was sent there.
func checkLeaving(h *History, result *CheckResult) {
	for _, d := range departures(h) {
		if d.to-d.from <= leavingGraceNS || !isServer(h, d.server) {
			continue
		}
		result.Checked[RuleLeaving]++
		for i := range h.Runs {
			run := &h.Runs[i]
			if run.Server == d.server && run.StartNS > d.from+leavingGraceNS && run.StartNS < d.to {
				result.add(RuleLeaving, "server %s got call %s (%s) %.1f s after it began to leave",
					d.server, run.Call, run.Outcome, float64(run.StartNS-d.from)/1e9)
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

// maxCrashes is how many servers one request may take down.
const maxCrashes = 2

// checkCrashes counts the servers that each request took down which crashes its
// servers, over all calls that sent it.
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
			result.add(RuleCrashes, "%s of key %q at %s took servers down %d times", r.kind, r.key, r.service, count)
		}
	}
}
