package standin

import (
	"context"
	"slices"
	"time"

	"kumquatcleat/internal/backend"
)

// ticket is what a queued request is told.
type ticket int

const (
	ticketStart ticket = iota
	ticketNotOwner
	ticketCanceled
	ticketCrashed
)

// run is a request that runs or waits to run. Server.mu guards it.
type run struct {
	record   RunRecord
	hasSlot  bool
	tenure   uint64        // of the group's lease when the run began
	leaseEnd int64         // last known end of that lease, CLOCK_MONOTONIC ms
	cancel   chan struct{} // closed by a cancellation
	canceled bool
}

type waiter struct {
	run    *run
	ticket chan ticket // holds one ticket
}

func (w *waiter) leave(t ticket) { w.ticket <- t }

// admit starts a run or returns why it did not start. It waits in the queue
// until a slot is free, the deadline has passed or ctx ends.
func (s *Server) admit(ctx context.Context, run *run, deadline int64) (refusal string, crashed bool) {
	w, refusal := s.enter(run, deadline)
	if w == nil {
		return refusal, false
	}
	timer := time.NewTimer(time.Duration(deadline - MonotonicNow()))
	defer timer.Stop()
	select {
	case t := <-w.ticket:
		return ticketReason(t)
	case <-timer.C:
		refusal = backend.NotStartedDeadline
	case <-ctx.Done():
		refusal = backend.NotStartedCanceled
	}
	s.switches.waitWhileFrozen()
	if s.leaveQueue(w) {
		return refusal, false
	}
	return ticketReason(<-w.ticket)
}

func ticketReason(t ticket) (refusal string, crashed bool) {
	switch t {
	case ticketNotOwner:
		return backend.NotStartedNotOwner, false
	case ticketCanceled:
		return backend.NotStartedCanceled, false
	case ticketCrashed:
		return "", true
	default:
		return "", false
	}
}

// enter starts the run at once, refuses it, or returns its place in the queue.
func (s *Server) enter(run *run, deadline int64) (w *waiter, refusal string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := MonotonicNow()
	if s.draining {
		return nil, backend.NotStartedDraining
	}
	if now >= deadline {
		return nil, backend.NotStartedDeadline
	}
	if !s.owns(run, now) {
		return nil, backend.NotStartedNotOwner
	}
	if len(s.running) < s.settings.Slots && len(s.queue) == 0 {
		s.start(run, now)
		return nil, ""
	}
	if len(s.queue) >= s.settings.Queue {
		return nil, backend.NotStartedShed
	}
	w = &waiter{run: run, ticket: make(chan ticket, 1)}
	s.queue = append(s.queue, w)
	return w, ""
}

// owns checks the right to run and notes the lease that gives it. s.mu is held.
func (s *Server) owns(run *run, now int64) bool {
	if !run.hasSlot {
		return true
	}
	tenure, ok := s.mayRun(&run.record, now/int64(time.Millisecond))
	run.tenure = tenure
	return ok
}

// start puts a run into a slot. The right to run was checked at now, under the
// same hold of s.mu, so that a freeze can't come between check and start.
func (s *Server) start(run *run, now int64) {
	run.record.Incarnation = s.incarnation
	run.record.StartNS = now
	run.record.Outcome = RunStarted
	s.running[run] = struct{}{}
	s.runs.begin(&run.record)
}

// startQueued fills the free slots from the queue. s.mu is held.
func (s *Server) startQueued() {
	now := MonotonicNow()
	for len(s.queue) > 0 && len(s.running) < s.settings.Slots {
		w := s.queue[0]
		s.queue = s.queue[1:]
		if !s.owns(w.run, now) {
			w.leave(ticketNotOwner)
			continue
		}
		s.start(w.run, now)
		w.leave(ticketStart)
	}
}

// leaveQueue reports whether w was still waiting.
func (s *Server) leaveQueue(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.queue, w)
	if i < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	return true
}

// Cancel stops a request by its id. It reports whether it found one.
func (s *Server) Cancel(requestID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.queue {
		if w.run.record.RequestID == requestID {
			s.queue = slices.Delete(s.queue, i, i+1)
			w.leave(ticketCanceled)
			return true
		}
	}
	for run := range s.running {
		if run.record.RequestID == requestID && !run.canceled {
			run.canceled = true
			close(run.cancel)
			return true
		}
	}
	return false
}
