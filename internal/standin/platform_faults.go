package standin

import (
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
)

// HeaderCaller names the caller of the platform where its source address does
// not tell it apart.
const HeaderCaller = "Kumquatcleat-Standin-Caller"

// PlatformFaults are the switches of a platform stand-in. The zero value is a
// platform without faults.
type PlatformFaults struct {
	Down            bool     `json:"down"`              // closes each connection without an answer
	SlowMS          int64    `json:"slow_ms"`           // added before each call takes effect
	LostAnswerShare float64  `json:"lost_answer_share"` // of writes: applied, then no answer; 0 to 1
	ListLagMS       int64    `json:"list_lag_ms"`       // age of the VM list that is shown
	CutCallers      []string `json:"cut_callers"`       // source IPs or HeaderCaller values cut off
}

// cuts reports whether the caller of r is cut off from the platform.
func (f PlatformFaults) cuts(r *http.Request) bool {
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

type platformSwitches struct {
	mu     sync.Mutex
	faults PlatformFaults
	draws  *rand.Rand
}

func newPlatformSwitches(faults PlatformFaults, seed uint64) *platformSwitches {
	return &platformSwitches{faults: faults, draws: rand.New(rand.NewPCG(seed, 0))}
}

func (s *platformSwitches) get() PlatformFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *platformSwitches) set(faults PlatformFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *platformSwitches) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.LostAnswerShare > 0 && s.draws.Float64() < s.faults.LostAnswerShare
}

// SetFaults replaces all switches.
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
