package bench

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/standin"
)

// Files of a run's directory.
const (
	fileCalls   = "calls.jsonl"  // one Call a line
	fileRuns    = "runs.jsonl"   // one standin.RunRecord a line
	fileFaults  = "faults.jsonl" // one FaultRecord a line
	fileReport  = "report.json"
	fileSummary = "run.json" // RunInfo
)

// CallOutcome is what a caller knows after a call.
type CallOutcome string

// The outcomes of a call.
const (
	CallAnswered CallOutcome = "answered" // the whole answer of a server that ran it
	CallFailed   CallOutcome = "failed"   // a server's own answer that it was stopped while it ran
	CallNotRun   CallOutcome = "not-run"  // refused: no server started it and none can
	CallUnknown  CallOutcome = "unknown"  // refused: it may have run or may still run
	CallDeferred CallOutcome = "deferred" // accepted for later
	CallLost     CallOutcome = "lost"     // no answer, or a cut one, from the VM
	CallUnsent   CallOutcome = "unsent"   // no connection to the VM
	CallSkipped  CallOutcome = "skipped"  // the bench had too many calls in flight
	CallWrong    CallOutcome = "wrong"    // looked complete but was not this call's answer
)

// Call is what one caller did and saw. Times are CLOCK_MONOTONIC ns.
type Call struct {
	ID             string      `json:"id"`
	ResendOf       string      `json:"resend_of,omitempty"`
	Service        string      `json:"service"`
	Key            string      `json:"key,omitempty"`
	Kind           string      `json:"kind"`
	Class          string      `json:"class"`
	Method         string      `json:"method"`
	NonIdempotent  bool        `json:"non_idempotent,omitempty"`
	IdempotencyKey string      `json:"idempotency_key,omitempty"`
	Crash          bool        `json:"crash,omitempty"` // carries the header that crashes servers
	Target         string      `json:"target"`          // VM's address
	IntendedNS     int64       `json:"intended_ns"`
	SentNS         int64       `json:"sent_ns"`
	AnsweredNS     int64       `json:"answered_ns"`
	Status         int         `json:"status,omitempty"`
	Outcome        CallOutcome `json:"outcome"`
	Refusal        fault.Kind  `json:"refusal,omitempty"`
	Server         string      `json:"server,omitempty"`
	Incarnation    string      `json:"incarnation,omitempty"`
	RequestID      string      `json:"request_id,omitempty"`
	Detail         string      `json:"detail,omitempty"` // what was wrong or lost, for people
}

// FaultRecord is a fault that was injected.
type FaultRecord struct {
	Fault
	AtNS  int64  `json:"at_ns"` // CLOCK_MONOTONIC, when it had been done
	Error string `json:"error,omitempty"`
}

// RunInfo describes a run for its reader.
type RunInfo struct {
	Scenario Scenario   `json:"scenario"`
	Seed     uint64     `json:"seed"`
	Targets  []string   `json:"targets"`
	StartNS  int64      `json:"start_ns"` // CLOCK_MONOTONIC, of the first moment of load
	EndNS    int64      `json:"end_ns"`   // of the last answer
	Servers  []Capacity `json:"servers,omitempty"`
	Cost     *Cost      `json:"cost,omitempty"` // nil: not known, or daemons were restarted
}

// Capacity is a server that the cluster's records name.
type Capacity struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Checks  bool   `json:"checks"`
}

// History is everything that a run recorded.
type History struct {
	Info   RunInfo
	Calls  []Call
	Runs   []standin.RunRecord // one a run, with its end; refusals among them
	Faults []FaultRecord
}

// Save writes the history into a directory.
func (h *History) Save(dir string) error {
	if err := saveJSON(filepath.Join(dir, fileSummary), h.Info); err != nil {
		return err
	}
	if err := saveLines(filepath.Join(dir, fileCalls), h.Calls); err != nil {
		return err
	}
	if err := saveLines(filepath.Join(dir, fileRuns), h.Runs); err != nil {
		return err
	}
	return saveLines(filepath.Join(dir, fileFaults), h.Faults)
}

// LoadHistory reads the history in a directory.
func LoadHistory(dir string) (*History, error) {
	h := &History{}
	data, err := os.ReadFile(filepath.Join(dir, fileSummary))
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	if err := json.Unmarshal(data, &h.Info); err != nil {
		return nil, fmt.Errorf("history: %s: %w", fileSummary, err)
	}
	if h.Calls, err = loadLines[Call](filepath.Join(dir, fileCalls)); err != nil {
		return nil, err
	}
	if h.Runs, err = loadLines[standin.RunRecord](filepath.Join(dir, fileRuns)); err != nil {
		return nil, err
	}
	h.Faults, err = loadLines[FaultRecord](filepath.Join(dir, fileFaults))
	return h, err
}

func saveJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("history: %s: %w", path, err)
	}
	return os.WriteFile(path, append(data, '\n'), filePerm)
}

func saveLines[T any](path string, items []T) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	defer func() { _ = file.Close() }()
	buffered := bufio.NewWriter(file)
	encoder := json.NewEncoder(buffered)
	for i := range items {
		if err := encoder.Encode(&items[i]); err != nil {
			return fmt.Errorf("history: %s: %w", path, err)
		}
	}
	if err := buffered.Flush(); err != nil {
		return fmt.Errorf("history: %s: %w", path, err)
	}
	return file.Close()
}

func loadLines[T any](path string) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	defer func() { _ = file.Close() }()
	items, err := parseLines[T](file)
	if err != nil {
		return nil, fmt.Errorf("history: %s: %w", path, err)
	}
	return items, nil
}

// parseLines reads JSON lines. A last line that is cut off, as a killed writer
// leaves it, is left out.
func parseLines[T any](r io.Reader) ([]T, error) {
	var items []T
	reader := bufio.NewReader(r)
	for number := 1; ; number++ {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF {
			return items, nil
		}
		if err != nil {
			return nil, err
		}
		var item T
		if err := json.Unmarshal(line, &item); err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		items = append(items, item)
	}
}

const filePerm = 0o644
