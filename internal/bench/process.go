package bench

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Process is a process that the bench started, as recorded in its pid file.
type Process struct {
	Name string   `json:"name"`
	PID  int      `json:"pid"`
	Argv []string `json:"argv"`
	// StartTicks is the process's start time in /proc, which distinguishes it
	// from a later process with the same pid.
	StartTicks uint64 `json:"start_ticks"`
}

// The error texts of processes are stored in a run's fault records (faults.jsonl) and
// stay as they are.
var errProcessExited = errors.New("process has ended")

// startProcess starts argv with its output appended to DIR/logs/NAME.log and
// writes its pid file.
func startProcess(dir, name string, argv []string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, "logs", name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, filePerm)
	if err != nil {
		return nil, fmt.Errorf("process %s: %w", name, err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(argv[0], argv[1:]...)
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt of the bench must not reach the process
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("process %s: %w", name, err)
	}
	go func() { _ = command.Wait() }() // reaps the process when it exits
	ticks, err := readStartTicks(command.Process.Pid)
	if err != nil {
		return nil, fmt.Errorf("process %s ended at once; see its log: %w", name, err)
	}
	p := &Process{Name: name, PID: command.Process.Pid, Argv: argv, StartTicks: ticks}
	return p, saveJSON(pidFile(dir, name), p)
}

func pidFile(dir, name string) string { return filepath.Join(dir, "pids", name+".json") }

// loadProcess reads a pid file.
func loadProcess(dir, name string) (*Process, error) {
	data, err := os.ReadFile(pidFile(dir, name))
	if err != nil {
		return nil, fmt.Errorf("process %q: %w", name, err)
	}
	var p Process
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, fmt.Errorf("process %q: %w", name, err)
	}
	if p.PID <= 1 {
		return nil, fmt.Errorf("process %q: pid %d", name, p.PID)
	}
	return &p, nil
}

// signal sends a signal if the pid still belongs to the process that was started.
func (p *Process) signal(s syscall.Signal) error {
	if !p.alive() {
		return fmt.Errorf("process %s: %w", p.Name, errProcessExited)
	}
	return syscall.Kill(p.PID, s)
}

func (p *Process) alive() bool {
	ticks, err := readStartTicks(p.PID)
	return err == nil && ticks == p.StartTicks
}

// waitExit waits up to limit for the process to exit and reports whether it did.
func (p *Process) waitExit(limit time.Duration) bool {
	const step = 20 * time.Millisecond
	for waited := time.Duration(0); waited < limit; waited += step {
		if !p.alive() {
			return true
		}
		time.Sleep(step)
	}
	return !p.alive()
}

// readStartTicks returns when a live process started, in clock ticks since boot. The
// error is errProcessExited for a process that has exited and was not reaped.
func readStartTicks(pid int) (uint64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	return parseStartTicks(data)
}

// parseStartTicks returns the start time from a line of /proc/PID/stat, or
// errProcessExited if the process has exited. The process name in parentheses may
// itself contain spaces and parentheses.
func parseStartTicks(data []byte) (uint64, error) {
	end := bytes.LastIndexByte(data, ')')
	if end < 0 {
		return 0, fmt.Errorf("stat has no name")
	}
	fields := bytes.Fields(data[end+1:])
	const stateField, startField = 0, 19 // indexes of the fields after the name
	if len(fields) <= startField {
		return 0, fmt.Errorf("stat has %d fields", len(fields))
	}
	if state := string(fields[stateField]); state == "Z" || state == "X" {
		return 0, errProcessExited
	}
	return strconv.ParseUint(string(fields[startField]), 10, 64)
}
