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

// Headers that callers set for the stand-ins; the router forwards them.
const (
	HeaderCall   = "Kumquatcleat-Standin-Call"    // id of the call, recorded in its run records
	HeaderEcho   = "Kumquatcleat-Standin-Echo"    // any value: the answer includes the request body
	HeaderWorkMS = "Kumquatcleat-Standin-Work-Ms" // time that the request occupies an execution slot
	HeaderPad    = "Kumquatcleat-Standin-Pad"     // bytes of padding in the answer
)

// Headers of the request that are copied into its run record.
const (
	headerKey         = "Kumquatcleat-Key"
	headerIdempotency = "Idempotency-Key"
)

// RunOutcome is the state of a run or how it ended.
type RunOutcome string

// The outcomes of a run.
const (
	RunStarted      RunOutcome = "started"  // still running
	RunDone         RunOutcome = "done"     // completed
	RunCanceled     RunOutcome = "canceled" // stopped by a cancellation
	RunDeadline     RunOutcome = "deadline" // stopped at its deadline
	RunLeaseExpired RunOutcome = "lapsed"   // stopped when the lease of its slot expired
	RunCrashed      RunOutcome = "crashed"  // terminated by a crash of the server
	RunRefused      RunOutcome = "refused"  // never started; see Reason
)

// RunRecord describes one run, or one refusal, of a request at a server. Times are
// CLOCK_MONOTONIC ns.
type RunRecord struct {
	Server         string     `json:"server"`
	Incarnation    string     `json:"incarnation"`
	Number         uint64     `json:"number"` // sequence number of the run at this stand-in, from 1
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

// newRunRecord returns a record with the fields that the request determines.
func newRunRecord(server string, r *http.Request) RunRecord {
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

// runLog keeps the most recent records of finished runs in memory. If it has a file,
// it also writes a line to it at the start and at the end of each run.
type runLog struct {
	mu      sync.Mutex
	max     int
	records []RunRecord // a ring buffer once full
	next    int
	count   uint64
	file    io.Writer
}

func newRunLog(max int, file io.Writer) *runLog { return &runLog{max: max, file: file} }

// begin assigns the record's number and writes its start to the file.
func (l *runLog) begin(record *RunRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	record.Number = l.count
	l.write(record)
}

// end stores the record of a finished run and writes it to the file.
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

// write appends a record to the file. It does not buffer, so a killed process loses
// no line.
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

// refuse stores the record of a request that was refused without being started.
func (l *runLog) refuse(record RunRecord, reason string, now int64) {
	record.StartNS = now
	record.EndNS = now
	record.Outcome = RunRefused
	record.Reason = reason
	l.end(&record)
}

// Runs returns the records of finished runs, in the order in which they finished,
// followed by those of running ones.
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
