package standin

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
)

// HeaderCaller identifies the caller of the platform when its source address does
// not, because several callers share that address.
const HeaderCaller = "Kumquatcleat-Standin-Caller"

// PlatformFaults are the faults injected into a platform stand-in. The zero value
// injects none.
type PlatformFaults struct {
	Down            bool     `json:"down"`              // closes the connection of each call without an answer
	SlowMS          int64    `json:"slow_ms"`           // delay before each call takes effect
	LostAnswerShare float64  `json:"lost_answer_share"` // share of writes that are applied but not answered; 0 to 1
	ListLagMS       int64    `json:"list_lag_ms"`       // age of the VM list that is returned
	CutCallers      []string `json:"cut_callers"`       // source IPs or HeaderCaller values that get no answer
}

// blocksCaller reports whether CutCallers contains the caller of r.
func (f PlatformFaults) blocksCaller(r *http.Request) bool {
	if len(f.CutCallers) == 0 {
		return false
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err == nil && slices.Contains(f.CutCallers, host) {
		return true
	}
	name := r.Header.Get(HeaderCaller)
	return name != "" && slices.Contains(f.CutCallers, name)
}

// platformFaultState holds the current faults of a platform stand-in. Safe for
// concurrent use.
type platformFaultState struct {
	mu     sync.Mutex
	faults PlatformFaults
	rng    *rand.Rand
}

func newPlatformFaultState(faults PlatformFaults, seed uint64) *platformFaultState {
	return &platformFaultState{faults: faults, rng: rand.New(rand.NewPCG(seed, 0))}
}

func (s *platformFaultState) get() PlatformFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *platformFaultState) set(faults PlatformFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// losesAnswer decides at random, by LostAnswerShare, whether the answer to a write is
// lost.
func (s *platformFaultState) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.LostAnswerShare > 0 && s.rng.Float64() < s.faults.LostAnswerShare
}

// SetFaults replaces all injected faults.
func (p *Platform) SetFaults(faults PlatformFaults) { p.faults.set(faults) }

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.faults.get()) }

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if err := decodeJSON(r, &faults); err != nil {
		badRequest(w, err)
		return
	}
	p.faults.set(faults)
	writeJSON(w, faults)
}
