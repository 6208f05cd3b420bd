package standin

import (
	"context"
	"slices"
	"time"

	"kumquatcleat/internal/backend"
)

// queueResult is how the wait of a queued request ended.
type queueResult int

const (
	queueStarted queueResult = iota
	queueNotOwner
	queueCanceled
	queueCrashed
)

// run is a request that is running or queued. Server.mu guards it.
type run struct {
	record          RunRecord
	hasSlot         bool
	leaseGeneration uint64        // generation of the group's lease when the run began
	leaseExpiry     int64         // last known expiry of that lease, CLOCK_MONOTONIC ms
	cancel          chan struct{} // closed on cancellation
	canceled        bool
}

type waiter struct {
	run    *run
	result chan queueResult // buffered; receives exactly one result
}

func (w *waiter) resolve(r queueResult) { w.result <- r }

// admit starts a run or returns why it did not start. It waits in the queue until
// an execution slot is free, the deadline passes or ctx is done.
func (s *Server) admit(ctx context.Context, run *run, deadline int64) (refusal string, crashed bool) {
	w, refusal := s.startOrEnqueue(run, deadline)
	if w == nil {
		return refusal, false
	}
	timer := time.NewTimer(time.Duration(deadline - MonotonicNow()))
	defer timer.Stop()
	select {
	case r := <-w.result:
		return refusalOf(r)
	case <-timer.C:
		refusal = backend.NotStartedDeadline
	case <-ctx.Done():
		refusal = backend.NotStartedCanceled
	}
	s.faults.waitWhileFrozen()
	if s.removeFromQueue(w) {
		return refusal, false
	}
	return refusalOf(<-w.result)
}

func refusalOf(r queueResult) (refusal string, crashed bool) {
	switch r {
	case queueNotOwner:
		return backend.NotStartedNotOwner, false
	case queueCanceled:
		return backend.NotStartedCanceled, false
	case queueCrashed:
		return "", true
	default:
		return "", false
	}
}

// startOrEnqueue starts the run, refuses it, or queues it and returns its waiter.
func (s *Server) startOrEnqueue(run *run, deadline int64) (w *waiter, refusal string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := MonotonicNow()
	if s.draining {
		return nil, backend.NotStartedDraining
	}
	if now >= deadline {
		return nil, backend.NotStartedDeadline
	}
	if !s.checkLease(run, now) {
		return nil, backend.NotStartedNotOwner
	}
	if len(s.running) < s.settings.Slots && len(s.queue) == 0 {
		s.start(run, now)
		return nil, ""
	}
	if len(s.queue) >= s.settings.Queue {
		return nil, backend.NotStartedShed
	}
	w = &waiter{run: run, result: make(chan queueResult, 1)}
	s.queue = append(s.queue, w)
	return w, ""
}

// checkLease reports whether the server's lease allows the run to start, and records
// the generation of that lease in the run. A run without a slot needs no lease. s.mu
// is held.
func (s *Server) checkLease(run *run, now int64) bool {
	if !run.hasSlot {
		return true
	}
	generation, ok := s.leaseAllows(&run.record, now/int64(time.Millisecond))
	run.leaseGeneration = generation
	return ok
}

// start gives a run an execution slot. s.mu is held and must have been held since
// the lease was checked at time now, so that no freeze can fall between the check
// and the start.
func (s *Server) start(run *run, now int64) {
	run.record.Incarnation = s.incarnation
	run.record.StartNS = now
	run.record.Outcome = RunStarted
	s.running[run] = struct{}{}
	s.runs.begin(&run.record)
}

// startQueued starts queued runs while execution slots are free. s.mu is held.
func (s *Server) startQueued() {
	now := MonotonicNow()
	for len(s.queue) > 0 && len(s.running) < s.settings.Slots {
		w := s.queue[0]
		s.queue = s.queue[1:]
		if !s.checkLease(w.run, now) {
			w.resolve(queueNotOwner)
			continue
		}
		s.start(w.run, now)
		w.resolve(queueStarted)
	}
}

// removeFromQueue removes w from the queue. It reports whether w was still queued.
func (s *Server) removeFromQueue(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.queue, w)
	if i < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	return true
}

// Cancel cancels the queued or running request with the given id. It reports whether
// there was one.
func (s *Server) Cancel(requestID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.queue {
		if w.run.record.RequestID == requestID {
			s.queue = slices.Delete(s.queue, i, i+1)
			w.resolve(queueCanceled)
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
