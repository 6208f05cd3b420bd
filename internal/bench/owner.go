package bench

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/standin"
)

// slotID identifies a slot.
type slotID struct {
	group string
	slot  uint32
}

// tenure is the time in which one server ran successive requests of a slot under
// one token: from the first start to the last end.
type tenure struct {
	server string
	token  backend.Token
	start  int64
	end    int64
}

// ownerStep is the input of the model: a tenure begins or ends.
type ownerStep struct {
	begin  bool
	server string
	token  backend.Token
}

// ownerState is the model's state: the server that runs requests of the slot now
// (empty: none) and in how many tenures, and the highest token so far.
type ownerState struct {
	server  string
	tenures int
	highest backend.Token
}

// ownerModel models exclusive ownership: a server may begin a tenure only while no
// other server has a tenure that has begun and not ended, and, with checkTokenOrder,
// under no token older than the highest so far. Begins and ends are timestamped by
// one clock, so each is an operation without duration, and the checker must find the
// order that the clock gives.
func ownerModel(checkTokenOrder bool) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return ownerState{} },
		Step: func(state, input, _ any) (bool, any) {
			return stepOwner(state.(ownerState), input.(ownerStep), checkTokenOrder)
		},
		DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
	}
}

func stepOwner(state ownerState, step ownerStep, checkTokenOrder bool) (bool, ownerState) {
	if !step.begin {
		if state.server != step.server {
			return false, state // ends a tenure that has not begun
		}
		state.tenures--
		if state.tenures == 0 {
			state.server = ""
		}
		return true, state
	}
	if state.server != "" && state.server != step.server {
		return false, state
	}
	if checkTokenOrder && step.token.Less(state.highest) {
		return false, state
	}
	state.server = step.server
	state.tenures++
	if state.highest.Less(step.token) {
		state.highest = step.token
	}
	return true, state
}

// checkOwners checks each slot's runs against the model: once for overlaps across
// all servers, once for token order across the servers that check tokens.
func checkOwners(h *History, result *CheckResult) {
	checksTokens := map[string]bool{}
	for _, server := range h.Info.Servers {
		checksTokens[server.ID] = server.Checks
	}
	for slot, runs := range runsBySlot(h.Runs) {
		tenures := tenuresOf(runs)
		result.Checked[RuleOneOwner]++
		if !linearizable(tenures, false) {
			result.add(RuleOneOwner, "slot %d of group %s: %s", slot.slot, slot.group, describeOverlap(tenures))
		}
		ofCheckingServers := slices.DeleteFunc(slices.Clone(tenures), func(t tenure) bool { return !checksTokens[t.server] })
		if len(ofCheckingServers) == 0 {
			continue
		}
		result.Checked[RuleTokenOrder]++
		if detail := tokenRegression(ofCheckingServers); detail != "" {
			result.add(RuleTokenOrder, "slot %d of group %s: %s", slot.slot, slot.group, detail)
		}
	}
}

func runsBySlot(runs []standin.RunRecord) map[slotID][]standin.RunRecord {
	bySlot := map[slotID][]standin.RunRecord{}
	for _, run := range runs {
		if run.HasSlot && run.Outcome != standin.RunRefused {
			id := slotID{run.Group, run.Slot}
			bySlot[id] = append(bySlot[id], run)
		}
	}
	return bySlot
}

// tenuresOf merges successive runs at one server under one token into tenures.
// This preserves overlaps between servers: a run at another server starts a new
// tenure, and the previous tenure keeps its latest end.
func tenuresOf(runs []standin.RunRecord) []tenure {
	runs = slices.Clone(runs)
	slices.SortStableFunc(runs, func(a, b standin.RunRecord) int { return cmp.Compare(a.StartNS, b.StartNS) })
	var tenures []tenure
	for _, run := range runs {
		token, err := backend.ParseToken(run.Token)
		if err != nil {
			token = backend.Token{} // a server that does not check tokens runs it anyway
		}
		if n := len(tenures); n > 0 && tenures[n-1].server == run.Server && tenures[n-1].token == token {
			tenures[n-1].end = max(tenures[n-1].end, run.EndNS)
			continue
		}
		tenures = append(tenures, tenure{server: run.Server, token: token, start: run.StartNS, end: run.EndNS})
	}
	return tenures
}

func linearizable(tenures []tenure, checkTokenOrder bool) bool {
	operations := make([]porcupine.Operation, 0, 2*len(tenures))
	for _, t := range tenures {
		operations = append(operations,
			porcupine.Operation{Input: ownerStep{begin: true, server: t.server, token: t.token}, Call: t.start, Return: t.start},
			porcupine.Operation{Input: ownerStep{server: t.server, token: t.token}, Call: t.end, Return: t.end})
	}
	return porcupine.CheckOperations(ownerModel(checkTokenOrder), operations)
}

// describeOverlap describes the first two tenures that overlap.
func describeOverlap(tenures []tenure) string {
	for i, a := range tenures {
		for _, b := range tenures[i+1:] {
			if a.server != b.server && b.start < a.end {
				return fmt.Sprintf("%s (token %s, %d to %d) and %s (token %s, %d to %d) overlap for %.3f ms",
					a.server, a.token, a.start, a.end, b.server, b.token, b.start, b.end,
					float64(min(a.end, b.end)-b.start)/1e6)
			}
		}
	}
	return "no order of its runs is consistent with a single owner"
}

// tokenRegression describes the first run under an older token than the run
// before it; empty: there is none.
func tokenRegression(tenures []tenure) string {
	if linearizable(startsOnly(tenures), true) {
		return ""
	}
	highest := tenures[0]
	for _, t := range tenures[1:] {
		if t.token.Less(highest.token) {
			return fmt.Sprintf("%s ran under token %s at %d, after %s under %s at %d",
				t.server, t.token, t.start, highest.server, highest.token, highest.start)
		}
		highest = t
	}
	return "no order of its runs is consistent with tokens that never decrease"
}

// startsOnly reduces each tenure to its start, so that an overlap is not reported
// a second time as a wrong order of tokens.
func startsOnly(tenures []tenure) []tenure {
	starts := slices.Clone(tenures)
	for i := range starts {
		starts[i].end = starts[i].start
	}
	return starts
}
