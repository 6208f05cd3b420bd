package standin

import (
	"net/http"
	"slices"
	"time"

	"kumquatcleat/internal/backend"
)

// groupGrant is what a server holds of one group. Server.mu guards it.
type groupGrant struct {
	highest backend.Token
	slots   map[uint32]backend.Token
	expiry  int64 // CLOCK_MONOTONIC ms
	// tenure rises each time a lease is given after the one before had lapsed.
	// A run that began in an earlier tenure has lost its right, also when the
	// server holds the slot again by now.
	tenure uint64
	// previousEnd is when the lease of the tenure before lapsed, CLOCK_MONOTONIC ms.
	previousEnd int64
}

// clockMS is the server's own clock: it goes on while the server is frozen.
func clockMS() int64 { return MonotonicNow() / int64(time.Millisecond) }

func (g *groupGrant) lapsed(nowMS int64) bool { return nowMS >= g.expiry }

// grant returns the group's entry, made when missing. s.mu is held.
func (s *Server) grant(group string) *groupGrant {
	g, ok := s.grants[group]
	if !ok {
		g = &groupGrant{slots: map[uint32]backend.Token{}}
		s.grants[group] = g
	}
	return g
}

// Grant gives or renews slots.
func (s *Server) Grant(req backend.GrantRequest) backend.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.grant(req.Group)
	now := clockMS()
	if reason := s.refuseGrant(g, req, now); reason != "" {
		return s.state(req.Group, now, false, reason)
	}
	if g.lapsed(now) {
		g.tenure++
		g.previousEnd = g.expiry
	}
	g.highest = req.Token
	g.expiry = max(g.expiry, req.ExpiresAt)
	if !req.Renew {
		g.slots = map[uint32]backend.Token{}
		for _, slot := range req.Slots {
			g.slots[slot.Slot] = slot.Token
		}
	}
	return s.state(req.Group, now, true, "")
}

// refuseGrant returns why a grant has no effect, or nothing. A server that does
// not check obeys whatever arrives. s.mu is held.
func (s *Server) refuseGrant(g *groupGrant, req backend.GrantRequest, now int64) string {
	if !s.settings.Checks {
		return ""
	}
	switch {
	case req.Incarnation != "" && req.Incarnation != s.incarnation:
		return "grant is for another start of the server"
	case req.Token.Less(g.highest):
		return "token is lower than the highest seen"
	case req.ExpiresAt <= now:
		return "lease has expired"
	case req.Renew && g.lapsed(now):
		return "the lease to renew has lapsed"
	}
	return ""
}

// Revoke takes slots. No request of them starts afterwards; running ones go on
// while the server's lease lasts, and are counted.
func (s *Server) Revoke(req backend.RevokeRequest) backend.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.grant(req.Group)
	now := clockMS()
	accepted := !s.settings.Checks || !req.Token.Less(g.highest)
	reason := "token is lower than the highest seen"
	if accepted {
		g.highest = req.Token
		for _, slot := range req.Slots {
			delete(g.slots, slot)
		}
		reason = ""
	}
	state := s.state(req.Group, now, accepted, reason)
	state.Running = s.countRunning(req.Group, req.Slots)
	return state
}

// State returns what is held of a group.
func (s *Server) State(group string) backend.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state(group, clockMS(), true, "")
}

// state builds an answer. s.mu is held.
func (s *Server) state(group string, now int64, accepted bool, reason string) backend.ServerState {
	state := backend.ServerState{
		Server:      s.settings.ID,
		Incarnation: s.incarnation,
		Clock:       now,
		Accepted:    accepted,
		Reason:      reason,
		Checks:      s.settings.Checks,
	}
	g, ok := s.grants[group]
	if !ok {
		return state
	}
	state.Highest = g.highest
	if !g.lapsed(now) {
		state.Slots = heldSlots(g)
		state.Held = len(state.Slots)
	}
	state.Running = s.countRunning(group, nil)
	return state
}

func heldSlots(g *groupGrant) []backend.SlotToken {
	slots := make([]backend.SlotToken, 0, len(g.slots))
	for slot, token := range g.slots {
		slots = append(slots, backend.SlotToken{Slot: slot, Token: token})
	}
	slices.SortFunc(slots, func(a, b backend.SlotToken) int { return int(a.Slot) - int(b.Slot) })
	return slots
}

// countRunning counts the running requests of some slots of a group, or of all
// when slots is nil. s.mu is held.
func (s *Server) countRunning(group string, slots []uint32) int {
	count := 0
	for run := range s.running {
		if !run.hasSlot || run.record.Group != group {
			continue
		}
		if slots == nil || slices.Contains(slots, run.record.Slot) {
			count++
		}
	}
	return count
}

// mayRun reports whether a request with a slot may start now. s.mu is held.
func (s *Server) mayRun(record *RunRecord, nowMS int64) (tenure uint64, ok bool) {
	g := s.grants[record.Group]
	if !s.settings.Checks {
		if g == nil {
			return 0, true
		}
		return g.tenure, true
	}
	if g == nil || g.lapsed(nowMS) {
		return 0, false
	}
	token, held := g.slots[record.Slot]
	if !held || token.String() != record.Token {
		return 0, false
	}
	return g.tenure, true
}

// lapsedAt returns when the lease lapsed under which a run began, in
// CLOCK_MONOTONIC ms, or 0 while it lasts. s.mu is held.
func (s *Server) lapsedAt(run *run, nowMS int64) int64 {
	if !s.settings.Checks || !run.hasSlot {
		return 0
	}
	g := s.grants[run.record.Group]
	switch {
	case g.tenure == run.tenure+1:
		return g.previousEnd
	case g.tenure > run.tenure:
		return run.leaseEnd
	case g.lapsed(nowMS):
		return g.expiry
	}
	run.leaseEnd = g.expiry
	return 0
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var req backend.GrantRequest
	if err := decodeJSON(r, &req); err != nil {
		badRequest(w, err)
		return
	}
	state := s.Grant(req)
	if s.switches.get().LoseGrantAnswers {
		abort()
	}
	writeJSON(w, state)
}

func (s *Server) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var req backend.RevokeRequest
	if err := decodeJSON(r, &req); err != nil {
		badRequest(w, err)
		return
	}
	state := s.Revoke(req)
	if s.switches.get().LoseGrantAnswers {
		abort()
	}
	writeJSON(w, state)
}

func (s *Server) handleState(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.State(r.URL.Query().Get("group")))
}
