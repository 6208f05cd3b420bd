package standin

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"kumquatcleat/internal/backend"
)

// Headers that callers set for the stand-ins; the router passes them on.
const (
	HeaderCall   = "Kumquatcleat-Standin-Call"    // id of one call, recorded with its runs
	HeaderEcho   = "Kumquatcleat-Standin-Echo"    // any value: the answer holds the body
	HeaderWorkMS = "Kumquatcleat-Standin-Work-Ms" // time that the request holds a slot
	HeaderPad    = "Kumquatcleat-Standin-Pad"     // bytes that the answer is filled up with
)

// Names of the headers that callers send and runs record.
const (
	headerKey         = "Kumquatcleat-Key"
	headerIdempotency = "Idempotency-Key"
)

// RunOutcome says how a run ended.
type RunOutcome string

// The outcomes of a run.
const (
	RunStarted      RunOutcome = "started"  // still running
	RunDone         RunOutcome = "done"     // ran to its end
	RunCanceled     RunOutcome = "canceled" // stopped by a cancellation
	RunDeadline     RunOutcome = "deadline" // stopped at its deadline
	RunLeaseExpired RunOutcome = "lapsed"   // stopped when the lease of its slot lapsed
	RunCrashed      RunOutcome = "crashed"  // ended with the server
	RunRefused      RunOutcome = "refused"  // never started; Reason says why
)

// RunRecord is one run, or one refusal, of a request at a server. Times are CLOCK_MONOTONIC ns.
type RunRecord struct {
	Server         string     `json:"server"`
	Incarnation    string     `json:"incarnation"`
	Number         uint64     `json:"number"` // counts the runs of the stand-in from 1
	RequestID      string     `json:"request_id"`
	Call           string     `json:"call,omitempty"`
	IdempotencyKey string     `json:"idempotency_key,omitempty"`
	Key            string     `json:"key,omitempty"`
	Group          string     `json:"group,omitempty"`
	HasSlot        bool       `json:"has_slot"`
	Slot           uint32     `json:"slot"`
	Token          string     `json:"token,omitempty"`
	Method         string     `json:"method"`
	Path           string     `json:"path"`
	StartNS        int64      `json:"start_ns"`
	EndNS          int64      `json:"end_ns,omitempty"`
	Outcome        RunOutcome `json:"outcome"`
	Reason         string     `json:"reason,omitempty"` // of a refusal
}

// recordOf reads the record's fields from a request's headers.
func recordOf(server string, r *http.Request) RunRecord {
	record := RunRecord{
		Server:         server,
		RequestID:      r.Header.Get(backend.HeaderRequestID),
		Call:           r.Header.Get(HeaderCall),
		IdempotencyKey: r.Header.Get(headerIdempotency),
		Key:            r.Header.Get(headerKey),
		Group:          r.Header.Get(backend.HeaderGroup),
		Token:          r.Header.Get(backend.HeaderToken),
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
	}
	slot, err := strconv.ParseUint(r.Header.Get(backend.HeaderSlot), 10, 32)
	if err == nil {
		record.HasSlot = true
		record.Slot = uint32(slot)
	}
	return record
}

// runLog keeps the newest run records, each once it has ended, and writes starts
// and ends to a file, if there is one.
type runLog struct {
	mu      sync.Mutex
	max     int
	records []RunRecord // a ring once full
	next    int
	count   uint64
	file    io.Writer
}

func newRunLog(max int, file io.Writer) *runLog { return &runLog{max: max, file: file} }

// begin numbers a record and writes its start.
func (l *runLog) begin(record *RunRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	record.Number = l.count
	l.write(record)
}

// end keeps a record that is complete.
func (l *runLog) end(record *RunRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.write(record)
	if len(l.records) < l.max {
		l.records = append(l.records, *record)
		return
	}
	l.records[l.next] = *record
	l.next = (l.next + 1) % l.max
}

// write appends a record to the file. A killed process loses no line, because
// nothing is buffered here.
func (l *runLog) write(record *RunRecord) {
	if l.file == nil {
		return
	}
	data, err := json.Marshal(record)
	if err == nil {
		_, _ = l.file.Write(append(data, '\n'))
	}
}

func (l *runLog) all() []RunRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := make([]RunRecord, 0, len(l.records))
	records = append(records, l.records[l.next:]...)
	return append(records, l.records[:l.next]...)
}

// refuse keeps the record of a request that was told that it did not start.
func (l *runLog) refuse(record RunRecord, reason string, now int64) {
	record.StartNS = now
	record.EndNS = now
	record.Outcome = RunRefused
	record.Reason = reason
	l.end(&record)
}

// Runs returns the records kept: ended runs in order of their end, then the
// runs under way.
func (s *Server) Runs() []RunRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.runs.all()
	for run := range s.running {
		records = append(records, run.record)
	}
	return records
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/jsonl")
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, record := range s.Runs() {
		if encoder.Encode(record) != nil {
			return
		}
	}
	_ = buffered.Flush()
}
