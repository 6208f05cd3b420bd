package bench

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/routing"
	"kumquatcleat/internal/standin"
)

// startTarget serves handler in place of an entry VM and returns its address.
func startTarget(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestRunRecordsEveryCall(t *testing.T) {
	target := startTarget(t, standin.NewServer(standin.ServerSettings{ID: "s1", Slots: 1000}))
	s := testScenario(t, `"duration_ms":2000`, `"duration_ms":300`)
	history, err := Run(context.Background(), s, 1, []string{target, target}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if want := len(schedule(s, 1, 2, "p")); len(history.Calls) != want {
		t.Fatalf("got %d calls recorded, want %d as planned", len(history.Calls), want)
	}
	for _, call := range history.Calls {
		if call.Outcome != CallAnswered || call.Server != "s1" {
			t.Fatalf("got call %+v, want it answered by s1", call)
		}
	}
	dir := t.TempDir()
	if err := SaveAll(dir, history, MakeReport(history)); err != nil {
		t.Fatal(err)
	}
	loaded, err := LoadHistory(dir)
	if err != nil || len(loaded.Calls) != len(history.Calls) {
		t.Fatalf("load history: error %v, or the number of calls differs from the saved one", err)
	}
}

// oneCall makes one call to a handler and returns what its caller saw.
func oneCall(t *testing.T, handler http.HandlerFunc) Call {
	t.Helper()
	s := testScenario(t)
	planned := &plannedCall{traffic: &s.Services[0], kind: &Kind{Name: "k", Method: "POST", Path: "/x", BodyBytes: 10, PadBytes: 5}, key: "k1"}
	call := Call{ID: "c1", Method: "POST", Key: "k1", Target: startTarget(t, handler)}
	newCaller(time.Minute).do(context.Background(), &call, planned)
	return call
}

func TestAnswerOfAnotherCallIsWrong(t *testing.T) {
	good := standin.NewServer(standin.ServerSettings{ID: "s1"})
	if call := oneCall(t, good.ServeHTTP); call.Outcome != CallAnswered {
		t.Fatalf("got %+v for the unchanged answer, want outcome answered", call)
	}
	change := func(edit func(*standin.RunAnswer)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			recorder := httptest.NewRecorder()
			good.ServeHTTP(recorder, r)
			var answer standin.RunAnswer
			_ = json.Unmarshal(recorder.Body.Bytes(), &answer)
			edit(&answer)
			_ = json.NewEncoder(w).Encode(answer)
		}
	}
	for name, handler := range map[string]http.HandlerFunc{
		"other call": change(func(a *standin.RunAnswer) { a.Call = "c2" }),
		"other key":  change(func(a *standin.RunAnswer) { a.Key = "k2" }),
		"other body": change(func(a *standin.RunAnswer) { a.BodySHA256 = "" }),
		"other pad":  change(func(a *standin.RunAnswer) { a.Pad = "c2.c2" }),
		"half":       func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"server":`)) },
	} {
		if call := oneCall(t, handler); call.Outcome != CallWrong {
			t.Errorf("%s: got %+v, want outcome wrong", name, call)
		}
	}
}

func TestTruncatedAnswerIsLostNotAnswered(t *testing.T) {
	cut := standin.NewServer(standin.ServerSettings{ID: "s1", Faults: standin.ServerFaults{CutAnswer: true}})
	if call := oneCall(t, cut.ServeHTTP); call.Outcome != CallLost {
		t.Fatalf("got %+v, want outcome lost", call)
	}
}

func TestRefusalKeepsKindAndOutcome(t *testing.T) {
	call := oneCall(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(routing.HeaderOutcome, "not-run")
		w.Header().Set(backend.HeaderRequestID, "r1")
		w.WriteHeader(http.StatusTooManyRequests)
		_ = json.NewEncoder(w).Encode(routing.Refusal{Kind: "overloaded", Outcome: "not-run"})
	})
	if call.Outcome != CallNotRun || call.Refusal != "overloaded" || call.RequestID != "r1" {
		t.Fatalf("got %+v, want outcome not-run, refusal overloaded and request ID r1", call)
	}
}

func TestCallIsUnsentWhenConnectionIsRefused(t *testing.T) {
	s := testScenario(t)
	call := Call{ID: "c1", Method: "GET", Target: "127.0.0.1:1"}
	planned := &plannedCall{traffic: &s.Services[0], kind: probeKind, key: "k1"}
	newCaller(time.Minute).do(context.Background(), &call, planned)
	if call.Outcome != CallUnsent {
		t.Fatalf("got %+v, want outcome unsent", call)
	}
}

func TestCallGoesToNextVMWhenConnectionIsRefused(t *testing.T) {
	up := startTarget(t, standin.NewServer(standin.ServerSettings{ID: "s1", Slots: 1000}))
	s := testScenario(t, `"duration_ms":2000`, `"duration_ms":100`)
	history, err := Run(context.Background(), s, 1, []string{"127.0.0.1:1", up}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, call := range history.Calls {
		if call.Outcome != CallAnswered || call.Target != up {
			t.Fatalf("got call %+v, want it answered by the VM that is up", call)
		}
	}
}

func TestSignalNotSentToProcessThatReusedPID(t *testing.T) {
	command := exec.Command("sleep", "60")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	ticks, err := readStartTicks(command.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	other := &Process{Name: "x", PID: command.Process.Pid, StartTicks: ticks + 1}
	if err := other.signal(syscall.SIGKILL); err == nil {
		t.Error("signaled a process with another start time, want an error")
	}
	own := &Process{Name: "x", PID: command.Process.Pid, StartTicks: ticks}
	if err := own.signal(syscall.SIGKILL); err != nil {
		t.Error(err)
	}
	_ = command.Wait()
	if own.alive() {
		t.Error("alive() is true after the process exited, want false")
	}
}

func TestStatIsParsedWhenProcessNameHasParentheses(t *testing.T) {
	line := "7 (a) b)) S 1 7 7 0 -1 4194560 1 0 0 0 0 0 0 0 20 0 1 0 4711 0 0\n"
	if ticks, err := parseStartTicks([]byte(line)); err != nil || ticks != 4711 {
		t.Fatalf("got start time %d, error %v, want 4711", ticks, err)
	}
}

func TestUsageIsReadFromProc(t *testing.T) {
	usage, err := usageOf(os.Getpid())
	if err != nil || usage.RSSMB <= 0 {
		t.Fatalf("got %+v, error %v, want resident memory above 0", usage, err)
	}
	line := "7 (a) S 1 7 7 0 -1 0 0 0 0 0 150 50 0 0 20 0 1 0 4711 0 256 0\n"
	if got, err := parseUsage([]byte(line)); err != nil || got.CPUSeconds != 2 || got.RSSMB != 256*float64(os.Getpagesize())/(1<<20) {
		t.Fatalf("got %+v, error %v, want 2 s of CPU time and 256 resident pages", got, err)
	}
}

func FuzzParseStartTicks(f *testing.F) {
	f.Add([]byte("7 (a) b)) S 1 7 7 0 -1 4194560 1 0 0 0 0 0 0 0 20 0 1 0 4711 0 0\n"))
	f.Add([]byte(") Z"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := parseStartTicks(data); err == nil && !strings.Contains(string(data), ")") {
			t.Fatalf("parsed %q, want an error without a process name", data)
		}
	})
}
