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

// Files of a bench run's directory.
const (
	fileCalls   = "calls.jsonl"  // one Call per line
	fileRuns    = "runs.jsonl"   // one standin.RunRecord per line
	fileFaults  = "faults.jsonl" // one FaultRecord per line
	fileReport  = "report.json"
	fileRunInfo = "run.json" // RunInfo
)

// CallOutcome is what a caller knows after a call.
type CallOutcome string

// The outcomes of a call.
const (
	CallAnswered CallOutcome = "answered" // whole answer of a server that ran it
	CallFailed   CallOutcome = "failed"   // a server's own answer with another status, such as 504 when the run was stopped at its deadline
	CallNotRun   CallOutcome = "not-run"  // refused: no server has started it and none will
	CallUnknown  CallOutcome = "unknown"  // refused: it may have run or may still run
	CallDeferred CallOutcome = "deferred" // accepted for deferred execution
	CallLost     CallOutcome = "lost"     // no answer from the VM, or a truncated one
	CallUnsent   CallOutcome = "unsent"   // no connection to a VM could be opened
	CallSkipped  CallOutcome = "skipped"  // not sent: the bench had too many calls in flight
	CallWrong    CallOutcome = "wrong"    // complete response that is not this call's whole answer
)

// Call is what one caller did and saw in a bench run. Times are CLOCK_MONOTONIC ns.
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
	Target         string      `json:"target"`          // address of the VM
	IntendedNS     int64       `json:"intended_ns"`
	SentNS         int64       `json:"sent_ns"`
	AnsweredNS     int64       `json:"answered_ns"` // when the answer was read, or when the call failed
	Status         int         `json:"status,omitempty"`
	Outcome        CallOutcome `json:"outcome"`
	Refusal        fault.Kind  `json:"refusal,omitempty"`
	Server         string      `json:"server,omitempty"`
	Incarnation    string      `json:"incarnation,omitempty"`
	RequestID      string      `json:"request_id,omitempty"`
	Detail         string      `json:"detail,omitempty"` // human-readable reason
}

// FaultRecord is a fault that was injected.
type FaultRecord struct {
	Fault
	AtNS  int64  `json:"at_ns"` // CLOCK_MONOTONIC, after the fault was applied
	Error string `json:"error,omitempty"`
}

// RunInfo describes a bench run: its scenario, seed, targets, times and cost.
type RunInfo struct {
	Scenario Scenario     `json:"scenario"`
	Seed     uint64       `json:"seed"`
	Targets  []string     `json:"targets"`
	StartNS  int64        `json:"start_ns"` // CLOCK_MONOTONIC, start of the load
	EndNS    int64        `json:"end_ns"`   // after the last answer
	Servers  []ServerInfo `json:"servers,omitempty"`
	Cost     *Cost        `json:"cost,omitempty"` // nil: unknown, or a fault named a daemon's VM
}

// ServerInfo describes a server as the service's record does.
type ServerInfo struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`  // execution slots
	Checks  bool   `json:"checks"` // refuses requests without a valid grant
}

// History is everything that a bench run recorded.
type History struct {
	Info   RunInfo
	Calls  []Call
	Runs   []standin.RunRecord // one per run or refusal at a server; a run's record includes its end
	Faults []FaultRecord
}

// Save writes the history to a directory.
func (h *History) Save(dir string) error {
	if err := saveJSON(filepath.Join(dir, fileRunInfo), h.Info); err != nil {
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

// LoadHistory reads the history from a directory.
func LoadHistory(dir string) (*History, error) {
	h := &History{}
	data, err := os.ReadFile(filepath.Join(dir, fileRunInfo))
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	if err := json.Unmarshal(data, &h.Info); err != nil {
		return nil, fmt.Errorf("history: decode %s: %w", fileRunInfo, err)
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
		return fmt.Errorf("bench: %w", err)
	}
	defer func() { _ = file.Close() }()
	buffered := bufio.NewWriter(file)
	encoder := json.NewEncoder(buffered)
	for i := range items {
		if err := encoder.Encode(&items[i]); err != nil {
			return fmt.Errorf("bench: write %s: %w", path, err)
		}
	}
	if err := buffered.Flush(); err != nil {
		return fmt.Errorf("bench: write %s: %w", path, err)
	}
	return file.Close()
}

func loadLines[T any](path string) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	defer func() { _ = file.Close() }()
	items, err := parseLines[T](file)
	if err != nil {
		return nil, fmt.Errorf("bench: read %s: %w", path, err)
	}
	return items, nil
}

// parseLines parses JSON lines. It skips a truncated last line, which a killed
// writer leaves behind.
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
