package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"kumquatcleat/internal/backend"
)

const (
	maxRunBody = 64 << 20 // bytes of a request
	maxPad     = 8 << 20  // bytes of filler in an answer
)

// RunAnswer is the body of the answer to a request that ran.
type RunAnswer struct {
	Server      string  `json:"server"`
	Incarnation string  `json:"incarnation"`
	Key         string  `json:"key"`
	Slot        *uint32 `json:"slot,omitempty"` // nil: the request named no slot
	Method      string  `json:"method"`
	Path        string  `json:"path"`
	RequestID   string  `json:"request_id"`
	Call        string  `json:"call,omitempty"`
	Runs        uint64  `json:"runs"` // runs that this server has started so far
	BodySHA256  string  `json:"body_sha256"`
	Body        []byte  `json:"body,omitempty"` // with HeaderEcho
	Pad         string  `json:"pad,omitempty"`  // with HeaderPad
}

// answer is what a request came to. Exactly one of its forms is set.
type answer struct {
	lost       bool   // the connection closes without an answer
	notStarted string // why the request did not start
	status     int    // otherwise: status and body
	body       []byte
}

// handleRun runs a request that is none of the stand-in's own.
func (s *Server) handleRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRunBody))
	s.switches.waitWhileFrozen()
	if err != nil || s.switches.get().CloseAfterRead {
		abort()
	}
	id := r.Header.Get(backend.HeaderRequestID)
	var result answer
	if s.settings.HonoursID && id != "" {
		result = s.results.once(id, func() answer { return s.execute(r, body) })
	} else {
		result = s.execute(r, body)
	}
	s.switches.waitWhileFrozen()
	s.send(w, result)
}

// execute admits a request, holds a slot for its work and builds its answer.
func (s *Server) execute(r *http.Request, body []byte) answer {
	record := recordOf(s.settings.ID, r)
	run := &run{record: record, hasSlot: record.HasSlot, cancel: make(chan struct{})}
	deadline := deadlineOf(r, MonotonicNow())
	refusal, crashed := s.admit(r.Context(), run, deadline)
	if crashed {
		return answer{lost: true}
	}
	if refusal != "" {
		s.runs.refuse(record, refusal, MonotonicNow())
		return answer{notStarted: refusal}
	}
	if s.switches.get().crashes(r) {
		s.crash()
		return answer{lost: true}
	}
	switch s.work(run, s.workTime(r), deadline) {
	case RunDone:
		return s.answerOf(run, r, body)
	case RunDeadline:
		return answer{status: http.StatusGatewayTimeout, body: []byte("deadline passed while running\n")}
	case RunCanceled:
		return answer{status: http.StatusServiceUnavailable, body: []byte("cancelled while running\n")}
	default:
		return answer{lost: true}
	}
}

func (s *Server) crash() {
	if s.settings.Crash != nil {
		s.settings.Crash()
	}
	s.restart()
}

// deadlineOf returns the request's deadline in CLOCK_MONOTONIC ns.
func deadlineOf(r *http.Request, now int64) int64 {
	left, err := strconv.ParseInt(r.Header.Get(backend.HeaderDeadline), 10, 64)
	if err != nil || left > math.MaxInt32 {
		return math.MaxInt64
	}
	return now + left*int64(time.Millisecond)
}

// workTime returns how long a request holds its slot.
func (s *Server) workTime(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(HeaderWorkMS), 64)
	if err != nil {
		ms = s.settings.WorkMS
	}
	if factor := s.switches.get().SlowFactor; factor > 0 {
		ms *= factor
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.warming(MonotonicNow()) {
		ms *= s.settings.ColdFactor
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// work holds the run's slot until its work is done or something stops it.
//
// The clock is read once under s.mu and both judges the lease and stamps the
// end. A process that is stopped and woken therefore never reports work after
// the lease of its slot lapsed: it notices the lapse before anything else.
func (s *Server) work(run *run, duration time.Duration, deadline int64) RunOutcome {
	end := MonotonicNow() + int64(duration)
	for {
		outcome, until := s.progress(run, end, deadline)
		if outcome != RunStarted {
			return outcome
		}
		timer := time.NewTimer(time.Duration(until - MonotonicNow()))
		select {
		case <-timer.C:
		case <-run.cancel:
		}
		timer.Stop()
		s.switches.waitWhileFrozen()
	}
}

// progress ends the run if it is over, and otherwise returns when to look again.
func (s *Server) progress(run *run, end, deadline int64) (RunOutcome, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := MonotonicNow()
	if _, ok := s.running[run]; !ok {
		return RunCrashed, 0
	}
	if lapsed := s.lapsedAt(run, now/int64(time.Millisecond)); lapsed != 0 {
		return s.finish(run, RunLeaseExpired, max(run.record.StartNS, lapsed*int64(time.Millisecond))), 0
	}
	switch {
	case run.canceled:
		return s.finish(run, RunCanceled, now), 0
	case now >= end:
		return s.finish(run, RunDone, now), 0
	case now >= deadline:
		return s.finish(run, RunDeadline, now), 0
	}
	until := min(end, deadline)
	if s.settings.Checks && run.hasSlot {
		until = min(until, run.leaseEnd*int64(time.Millisecond))
	}
	return RunStarted, until
}

// finish frees the run's slot. s.mu is held.
func (s *Server) finish(run *run, outcome RunOutcome, end int64) RunOutcome {
	run.record.Outcome = outcome
	run.record.EndNS = end
	delete(s.running, run)
	s.runs.end(&run.record)
	s.startQueued()
	return outcome
}

func (s *Server) answerOf(run *run, r *http.Request, body []byte) answer {
	if s.switches.get().CloseAfterRun {
		return answer{lost: true}
	}
	sum := sha256.Sum256(body)
	record := run.record
	value := RunAnswer{
		Server:      record.Server,
		Incarnation: record.Incarnation,
		Key:         record.Key,
		Method:      record.Method,
		Path:        record.Path,
		RequestID:   record.RequestID,
		Call:        record.Call,
		Runs:        record.Number,
		BodySHA256:  hex.EncodeToString(sum[:]),
		Pad:         padOf(r),
	}
	if record.HasSlot {
		value.Slot = &record.Slot
	}
	if r.Header.Get(HeaderEcho) != "" {
		value.Body = body
	}
	data, err := json.Marshal(value)
	if err != nil {
		return answer{status: http.StatusInternalServerError, body: []byte(err.Error())}
	}
	return answer{status: http.StatusOK, body: append(data, '\n')}
}

// padOf returns the filler that a caller asked for: its call id over and over,
// so that a piece of another answer shows.
func padOf(r *http.Request) string {
	size, err := strconv.Atoi(r.Header.Get(HeaderPad))
	if err != nil || size <= 0 || size > maxPad {
		return ""
	}
	return Pad(r.Header.Get(HeaderCall), size)
}

// Pad returns size bytes of filler made of a call id.
func Pad(call string, size int) string {
	unit := call + "."
	return strings.Repeat(unit, size/len(unit)+1)[:size]
}

// send writes an answer, as far as the switches let it.
func (s *Server) send(w http.ResponseWriter, a answer) {
	if a.lost {
		abort()
	}
	w.Header().Set(backend.HeaderServer, s.settings.ID)
	if a.notStarted != "" {
		w.Header().Set(backend.HeaderNotStarted, a.notStarted)
		http.Error(w, a.notStarted, http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	if !s.switches.get().CutAnswer {
		_, _ = w.Write(a.body)
		return
	}
	_, _ = w.Write(a.body[:len(a.body)/2])
	_ = http.NewResponseController(w).Flush()
	abort()
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	s.Cancel(r.URL.Query().Get("id"))
	writeJSON(w, struct{}{})
}
