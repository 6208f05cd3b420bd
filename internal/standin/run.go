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
	maxRunBodyBytes = 64 << 20 // of a request
	maxPadBytes     = 8 << 20  // of padding in an answer
)

// RunAnswer is the body of the answer to a request that ran.
type RunAnswer struct {
	Server      string  `json:"server"`
	Incarnation string  `json:"incarnation"`
	Key         string  `json:"key"`
	Slot        *uint32 `json:"slot,omitempty"` // nil: the request had no slot header
	Method      string  `json:"method"`
	Path        string  `json:"path"`
	RequestID   string  `json:"request_id"`
	Call        string  `json:"call,omitempty"`
	Runs        uint64  `json:"runs"` // runs that this server had started, this one included
	BodySHA256  string  `json:"body_sha256"`
	Body        []byte  `json:"body,omitempty"` // with HeaderEcho
	Pad         string  `json:"pad,omitempty"`  // with HeaderPad
}

// answer is the result of a request: lost, notStarted, or status and body.
type answer struct {
	lost       bool   // the connection is closed without an answer
	notStarted string // why the request did not start
	status     int    // otherwise: HTTP status of the answer
	body       []byte
}

// handleRun runs a request whose path is not one of the stand-in's own endpoints.
func (s *Server) handleRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRunBodyBytes))
	s.faults.waitWhileFrozen()
	if err != nil || s.faults.get().CloseAfterRead {
		abort()
	}
	id := r.Header.Get(backend.HeaderRequestID)
	var result answer
	if s.settings.HonoursID && id != "" {
		result = s.results.once(id, func() answer { return s.execute(r, body) })
	} else {
		result = s.execute(r, body)
	}
	s.faults.waitWhileFrozen()
	s.send(w, result)
}

// execute admits a request, occupies an execution slot for its work time and returns
// its answer.
func (s *Server) execute(r *http.Request, body []byte) answer {
	record := newRunRecord(s.settings.ID, r)
	run := &run{record: record, hasSlot: record.HasSlot, cancel: make(chan struct{})}
	deadline := requestDeadline(r, MonotonicNow())
	refusal, crashed := s.admit(r.Context(), run, deadline)
	if crashed {
		return answer{lost: true}
	}
	if refusal != "" {
		s.runs.refuse(record, refusal, MonotonicNow())
		return answer{notStarted: refusal}
	}
	if s.faults.get().crashes(r) {
		s.crash()
		return answer{lost: true}
	}
	switch s.work(run, s.workTime(r), deadline) {
	case RunDone:
		return s.completedAnswer(run, r, body)
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

// requestDeadline returns the request's deadline in CLOCK_MONOTONIC ns, or MaxInt64 if
// it has none, or if the deadline is more than MaxInt32 ms away.
func requestDeadline(r *http.Request, now int64) int64 {
	left, err := strconv.ParseInt(r.Header.Get(backend.HeaderDeadline), 10, 64)
	if err != nil || left > math.MaxInt32 {
		return math.MaxInt64
	}
	return now + left*int64(time.Millisecond)
}

// workTime returns how long a request occupies its execution slot.
func (s *Server) workTime(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(HeaderWorkMS), 64)
	if err != nil {
		ms = s.settings.WorkMS
	}
	if factor := s.faults.get().SlowFactor; factor > 0 {
		ms *= factor
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.warming(MonotonicNow()) {
		ms *= s.settings.ColdFactor
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// work waits until the run has completed or is stopped, and returns its outcome.
//
// Each call of checkProgress reads the clock once under s.mu and uses that time both to
// check the lease and as the end of the run. A process that is stopped and resumed
// therefore never reports work after the lease of its slot expired: it checks the
// expiry before anything else.
func (s *Server) work(run *run, duration time.Duration, deadline int64) RunOutcome {
	end := MonotonicNow() + int64(duration)
	for {
		outcome, until := s.checkProgress(run, end, deadline)
		if outcome != RunStarted {
			return outcome
		}
		timer := time.NewTimer(time.Duration(until - MonotonicNow()))
		select {
		case <-timer.C:
		case <-run.cancel:
		}
		timer.Stop()
		s.faults.waitWhileFrozen()
	}
}

// checkProgress finishes the run if it is over, and otherwise returns RunStarted and the
// time of the next check.
func (s *Server) checkProgress(run *run, end, deadline int64) (RunOutcome, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := MonotonicNow()
	if _, ok := s.running[run]; !ok {
		return RunCrashed, 0
	}
	if expiry := s.leaseExpiredAt(run, now/int64(time.Millisecond)); expiry != 0 {
		return s.finish(run, RunLeaseExpired, max(run.record.StartNS, expiry*int64(time.Millisecond))), 0
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
		until = min(until, run.leaseExpiry*int64(time.Millisecond))
	}
	return RunStarted, until
}

// finish records the outcome of a run and frees its execution slot for a queued run.
// s.mu is held.
func (s *Server) finish(run *run, outcome RunOutcome, end int64) RunOutcome {
	run.record.Outcome = outcome
	run.record.EndNS = end
	delete(s.running, run)
	s.runs.end(&run.record)
	s.startQueued()
	return outcome
}

func (s *Server) completedAnswer(run *run, r *http.Request, body []byte) answer {
	if s.faults.get().CloseAfterRun {
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
		Pad:         requestedPad(r),
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

// requestedPad returns the padding that the caller asked for. It repeats the call id,
// so that a fragment of another call's answer is detectable.
func requestedPad(r *http.Request) string {
	size, err := strconv.Atoi(r.Header.Get(HeaderPad))
	if err != nil || size <= 0 || size > maxPadBytes {
		return ""
	}
	return Pad(r.Header.Get(HeaderCall), size)
}

// Pad returns size bytes of padding that repeat a call id.
func Pad(call string, size int) string {
	unit := call + "."
	return strings.Repeat(unit, size/len(unit)+1)[:size]
}

// sendStatus writes an answer with a status that net/http may not let a handler send.
func sendStatus(w http.ResponseWriter, status string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		abort()
	}
	_, _ = conn.Write([]byte("HTTP/1.1 " + status + " Injected\r\nContent-Length: 0\r\n\r\n"))
	_ = conn.Close()
}

// send writes an answer, with AnswerStatus if that is set, truncated if CutAnswer is set.
func (s *Server) send(w http.ResponseWriter, a answer) {
	if a.lost {
		abort()
	}
	if status := s.faults.get().AnswerStatus; status != "" {
		sendStatus(w, status)
		return
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
	if !s.faults.get().CutAnswer {
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
