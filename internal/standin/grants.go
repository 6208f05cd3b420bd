package standin

import (
	"net/http"
	"slices"
	"time"

	"kumquatcleat/internal/backend"
)

// groupLease is a server's lease on slots of one group, as set by the grants that it
// accepted. Server.mu guards it.
type groupLease struct {
	highest backend.Token // highest token accepted so far
	slots   map[uint32]backend.Token
	expiry  int64 // CLOCK_MONOTONIC ms
	// generation counts leases: it rises with each grant that follows the expiry of
	// the previous lease. A run that began in an earlier generation has lost its
	// lease, even if the server owns the slot again.
	generation uint64
	// previousExpiry is when the lease of the previous generation expired,
	// CLOCK_MONOTONIC ms.
	previousExpiry int64
}

// clockMS returns the server's clock in milliseconds. It keeps running while the
// server is frozen.
func clockMS() int64 { return MonotonicNow() / int64(time.Millisecond) }

func (g *groupLease) expired(nowMS int64) bool { return nowMS >= g.expiry }

// leaseOf returns the lease on a group, creating an expired one if needed. s.mu is
// held.
func (s *Server) leaseOf(group string) *groupLease {
	g, ok := s.leases[group]
	if !ok {
		g = &groupLease{slots: map[uint32]backend.Token{}}
		s.leases[group] = g
	}
	return g
}

// Grant grants slots to the server or renews their lease.
func (s *Server) Grant(req backend.GrantRequest) backend.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.leaseOf(req.Group)
	now := clockMS()
	if reason := s.refuseGrant(g, req, now); reason != "" {
		return s.state(req.Group, now, false, reason)
	}
	if g.expired(now) {
		g.generation++
		g.previousExpiry = g.expiry
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

// refuseGrant returns why a grant is rejected, or "" if it is accepted. A server
// without checks accepts every grant. s.mu is held.
func (s *Server) refuseGrant(g *groupLease, req backend.GrantRequest, now int64) string {
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
	case req.Renew && g.expired(now):
		return "the lease to renew has lapsed"
	}
	return ""
}

// Revoke takes slots away. No request for them starts afterwards. Running requests
// continue while the server's lease lasts; the answer counts them.
func (s *Server) Revoke(req backend.RevokeRequest) backend.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.leaseOf(req.Group)
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

// State returns the server's lease on a group.
func (s *Server) State(group string) backend.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state(group, clockMS(), true, "")
}

// state builds the answer to a control request. s.mu is held.
func (s *Server) state(group string, now int64, accepted bool, reason string) backend.ServerState {
	state := backend.ServerState{
		Server:      s.settings.ID,
		Incarnation: s.incarnation,
		Clock:       now,
		Accepted:    accepted,
		Reason:      reason,
		Checks:      s.settings.Checks,
	}
	g, ok := s.leases[group]
	if !ok {
		return state
	}
	state.Highest = g.highest
	if !g.expired(now) {
		state.Slots = heldSlots(g)
		state.Held = len(state.Slots)
	}
	state.Running = s.countRunning(group, nil)
	return state
}

func heldSlots(g *groupLease) []backend.SlotToken {
	slots := make([]backend.SlotToken, 0, len(g.slots))
	for slot, token := range g.slots {
		slots = append(slots, backend.SlotToken{Slot: slot, Token: token})
	}
	slices.SortFunc(slots, func(a, b backend.SlotToken) int { return int(a.Slot) - int(b.Slot) })
	return slots
}

// countRunning counts the running requests for the given slots of a group, or for
// all its slots if slots is nil. s.mu is held.
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

// leaseAllows reports whether the server's lease allows a request with a slot to start
// now, and returns the lease's generation. s.mu is held.
func (s *Server) leaseAllows(record *RunRecord, nowMS int64) (generation uint64, ok bool) {
	g := s.leases[record.Group]
	if !s.settings.Checks {
		if g == nil {
			return 0, true
		}
		return g.generation, true
	}
	if g == nil || g.expired(nowMS) {
		return 0, false
	}
	token, held := g.slots[record.Slot]
	if !held || token.String() != record.Token {
		return 0, false
	}
	return g.generation, true
}

// leaseExpiredAt returns when the lease under which a run began expired, in
// CLOCK_MONOTONIC ms, or 0 if it is still valid. It updates run.leaseExpiry.
// s.mu is held.
func (s *Server) leaseExpiredAt(run *run, nowMS int64) int64 {
	if !s.settings.Checks || !run.hasSlot {
		return 0
	}
	g := s.leases[run.record.Group]
	switch {
	case g.generation == run.leaseGeneration+1:
		return g.previousExpiry
	case g.generation > run.leaseGeneration:
		// The run's lease is older still. Its exact expiry is no longer known; the
		// last one that the run saw is not later.
		return run.leaseExpiry
	case g.expired(nowMS):
		return g.expiry
	}
	run.leaseExpiry = g.expiry
	return 0
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var req backend.GrantRequest
	if err := decodeJSON(r, &req); err != nil {
		badRequest(w, err)
		return
	}
	state := s.Grant(req)
	if s.faults.get().LoseGrantAnswers {
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
	if s.faults.get().LoseGrantAnswers {
		abort()
	}
	writeJSON(w, state)
}

func (s *Server) handleState(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.State(r.URL.Query().Get("group")))
}
