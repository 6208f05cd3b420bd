package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/operator"
	"kumquatcleat/internal/platform"
	"kumquatcleat/internal/platformclient"
	"kumquatcleat/internal/standin"
)

// result is the exit code and the output of one run of the program.
type result struct {
	code           int
	stdout, stderr string
}

func run(stdin string, args ...string) result {
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), args, strings.NewReader(stdin), &stdout, &stderr)
	return result{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

// want fails the test unless the run exited with code and printed text to standard
// output or standard error.
func (r result) want(t *testing.T, code int, text string) {
	t.Helper()
	if r.code != code || !strings.Contains(r.stdout+r.stderr, text) {
		t.Errorf("got code %d, want %d and output with %q\nstdout: %s\nstderr: %s", r.code, code, text, r.stdout, r.stderr)
	}
}

// startPlatform starts a platform stand-in and returns it with its address.
func startPlatform(t *testing.T) (*standin.Platform, string) {
	t.Helper()
	p := standin.NewPlatform(standin.PlatformSettings{})
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, strings.TrimPrefix(server.URL, "http://")
}

func sampleRecord(version uint64) *config.Service {
	return &config.Service{
		Schema: 1, Version: version, Name: "swapbay", SlotCount: 64, Domains: []string{"a", "b"},
		Servers: []config.Server{
			{ID: "s1", FailureDomain: "a", Address: "127.0.0.1:9001", Slots: 6, Connections: 130},
			{ID: "s2", FailureDomain: "b", Address: "127.0.0.1:9002", Slots: 6, Connections: 130},
		},
	}
}

func writeRecordFile(t *testing.T, s *config.Service) string {
	t.Helper()
	data, err := config.Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), s.Name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestAppliedRecordAppearsInGetDiffAndHistory(t *testing.T) {
	_, addr := startPlatform(t)
	first := sampleRecord(1)
	run("", "apply", writeRecordFile(t, first), "--platform", addr).want(t, ExitOK, "swapbay: version 1 accepted")
	run("", "get", "--platform", addr).want(t, ExitOK, "swapbay  1")
	run("", "get", "swapbay", "--platform", addr).want(t, ExitOK, `"slot_count": 64`)

	second := sampleRecord(2)
	second.Servers = second.Servers[:1]
	second.Limits.QueueLength = 9
	run("", "diff", writeRecordFile(t, second), "--platform", addr).want(t, ExitOK, "limits.queue_length: absent -> 9")
	run("", "apply", writeRecordFile(t, second), "--platform", addr).want(t, ExitOK, "version 2 accepted")
	run("", "history", "swapbay", "--platform", addr).want(t, ExitOK, `servers[s2].id: "s2" -> absent`)
	run("", "get", "swapbay", "--version", "1", "--platform", addr).want(t, ExitOK, `"s2"`)
}

func TestGetOutputIsAcceptedByApply(t *testing.T) {
	_, addr := startPlatform(t)
	run("", "apply", writeRecordFile(t, sampleRecord(1)), "--platform", addr).want(t, ExitOK, "accepted")
	printed := run("", "get", "swapbay", "--platform", addr).stdout
	next := strings.Replace(printed, `"version": 1`, `"version": 2`, 1)
	run(next, "apply", "-", "--platform", addr).want(t, ExitOK, "version 2 accepted")
}

func TestDrainIsRecordedAsNewVersion(t *testing.T) {
	_, addr := startPlatform(t)
	run("", "apply", writeRecordFile(t, sampleRecord(1)), "--platform", addr).want(t, ExitOK, "accepted")
	run("", "drain", "swapbay", "s1", "--platform", addr).want(t, ExitOK, "version 2 accepted")
	run("", "drain", "swapbay", "s1", "--platform", addr).want(t, ExitOK, "nothing to do")
	run("", "history", "swapbay", "--platform", addr).want(t, ExitOK, "servers[s1].drain: absent -> true")
	run("", "drain", "swapbay", "s1", "--undo", "--platform", addr).want(t, ExitOK, "version 3 accepted")
	run("", "drain", "swapbay", "s9", "--platform", addr).want(t, ExitFailed, `no server "s9"`)
	run("", "drain", "reefread", "s1", "--platform", addr).want(t, ExitFailed, "next: list the names")
}

func TestConcurrentAppliesAcceptOneAndReportConflicts(t *testing.T) {
	_, addr := startPlatform(t)
	const operators = 6
	results := make([]result, operators)
	files := make([]string, operators)
	for i := range operators {
		s := sampleRecord(1)
		s.Limits.QueueLength = 100 + i
		files[i] = writeRecordFile(t, s)
	}
	var group sync.WaitGroup
	for i := range operators {
		group.Go(func() { results[i] = run("", "apply", files[i], "--platform", addr, "--json") })
	}
	group.Wait()
	won := 0
	for i, r := range results {
		if r.code == ExitOK {
			won++
			continue
		}
		var c conflictOutput
		if err := json.Unmarshal([]byte(r.stdout), &c); err != nil || r.code != ExitConflict {
			t.Fatalf("operator %d: got code %d, decode error %v, want a conflict as JSON: %s %s", i, r.code, err, r.stdout, r.stderr)
		}
		if c.Theirs == nil || c.Yours == nil || c.Yours.Limits.QueueLength != 100+i || c.Theirs.Limits.QueueLength == 100+i {
			t.Errorf("operator %d: got theirs %+v, yours %+v; want two records, only yours with the queue length of this operator", i, c.Theirs, c.Yours)
		}
		r.want(t, ExitConflict, "next: read the record in force")
	}
	if won != 1 {
		t.Errorf("%d operators had their change accepted, want 1", won)
	}
}

func TestApplyReportsTrueOutcomeAfterLostCommitResponse(t *testing.T) {
	p, addr := startPlatform(t)
	p.SetFaults(standin.PlatformFaults{LostAnswerShare: 1})
	run("", "apply", writeRecordFile(t, sampleRecord(1)), "--platform", addr).want(t, ExitOK, "version 1 accepted")
	run("", "apply", writeRecordFile(t, sampleRecord(1)), "--platform", addr).want(t, ExitConflict, "another change came first")
}

func TestApplyGivesAdviceWhenPlatformIsDown(t *testing.T) {
	p, addr := startPlatform(t)
	p.SetFaults(standin.PlatformFaults{Down: true})
	r := run("", "apply", writeRecordFile(t, sampleRecord(1)), "--platform", addr, "--timeout", "300ms")
	r.want(t, ExitFailed, "nothing was written")
	r.want(t, ExitFailed, "next: check --platform")
	if r.stdout != "" {
		t.Errorf("got standard output %q, want none", r.stdout)
	}
}

func TestApplyRejectsSchemaThatLiveVMCannotRead(t *testing.T) {
	p, addr := startPlatform(t)
	p.SetVM(platform.VM{ID: "vm-old", Role: "entry", State: platform.VMLive})
	s := sampleRecord(1)
	s.Rules = []config.Rule{{Timeout: 500}}
	run("", "apply", writeRecordFile(t, s), "--platform", addr).want(t, ExitUsage, "vm-old")
	if err := config.PublishSchemaSupport(context.Background(), platformclient.New(addr), "vm-old", "i1"); err != nil {
		t.Fatal(err)
	}
	run("", "apply", writeRecordFile(t, s), "--platform", addr).want(t, ExitOK, "accepted")
}

func TestUsageErrorNamesInvalidInput(t *testing.T) {
	cases := []struct {
		name string
		in   string
		args []string
		want string
	}{
		{"no file", "", []string{"validate", "/nowhere.json"}, "/nowhere.json"},
		{"no argument", "", []string{"validate"}, "requires at least 1 arg"},
		{"unknown flag", "", []string{"get", "--plattform", "x"}, "unknown flag: --plattform"},
		{"unknown command", "", []string{"aply"}, "unknown command"},
		{"host name instead of IP", "", []string{"get", "--platform", "platform:80"}, `--platform: "platform:80": want IP:port`},
		{"VM without port", "", []string{"status", "--vm", "10.0.0.1"}, `--vm: "10.0.0.1": want IP:port`},
		{"malformed JSON", "{", []string{"apply", "-"}, "well-formed JSON"},
		{"unknown field", `{"schema":1,"nme":"x"}`, []string{"validate", "-"}, `nme: unknown field`},
		{"unsupported schema", `{"schema":9,"name":"x"}`, []string{"validate", "-"}, `schema: 9: want a schema that this release reads: 1 or 2`},
		{"negative version", "", []string{"apply", "x.json", "--expect", "-1"}, "invalid argument"},
		{"invalid duration", "", []string{"get", "--timeout", "soon"}, "invalid argument"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { run(c.in, c.args...).want(t, ExitUsage, c.want) })
	}
}

func TestValidateReportsEveryFile(t *testing.T) {
	good := writeRecordFile(t, sampleRecord(1))
	bad := sampleRecord(1)
	bad.SlotCount = 0
	r := run("", "validate", good, writeRecordFile(t, bad))
	r.want(t, ExitUsage, "valid: record swapbay, version 1, schema 1")
	r.want(t, ExitUsage, "slot_count: 0: want 1 to 65536 slots")
	r.want(t, ExitUsage, "1 of 2 files are not valid")
	var checks []fileCheck
	if err := json.Unmarshal([]byte(run("", "validate", good, "--json").stdout), &checks); err != nil || !checks[0].Valid {
		t.Errorf("got checks %+v, decode error %v; want one valid file", checks, err)
	}
}

// startVM serves the operator endpoints with fixed responses and returns the address.
func startVM(t *testing.T, status operator.Status, explain operator.Explain) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc(operator.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status)
	})
	mux.HandleFunc(operator.PathExplain, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("service") != explain.Service || r.URL.Query().Get("key") != explain.Key {
			http.Error(w, "no such service", http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(explain)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestExplainEscapesKeyAndReportsUnknownService(t *testing.T) {
	key := "a b/&service=x#é"
	addr := startVM(t, operator.Status{}, operator.Explain{Service: "swapbay", Key: key, Owner: "s1", Why: "placed"})
	run("", "explain", "swapbay", key, "--vm", addr).want(t, ExitOK, "s1")
	run("", "explain", "reefread", key, "--vm", addr).want(t, ExitFailed, "answered 404")
}

func TestStatusOfLargestSystemFitsOneScreen(t *testing.T) {
	const vms, services, lines = 7300, 400, 72
	status := operator.Status{VM: "vm-0"}
	for i := range vms {
		status.VMs = append(status.VMs, operator.VM{
			ID: "vm-" + string(rune('a'+i%9)), FailureDomain: "d" + string(rune('1'+i%9)), Alive: i%100 != 0, ConfigDigest: uint64(min(i%50, 1)),
		})
	}
	for i := range services {
		name := "s" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		status.Groups = append(status.Groups, operator.Group{Group: name, Keeper: "vm-1", Standby: "vm-2", Mode: operator.ModeTable, Unowned: i % 3})
		status.Servers = append(status.Servers, operator.Server{Service: name, ID: "s1", Healthy: i%2 == 0})
		status.ConfigVersions = append(status.ConfigVersions, operator.ConfigRecord{Name: name, Version: 1})
	}
	r := run("", "status", "--vm", startVM(t, status, operator.Explain{}))
	r.want(t, ExitOK, "platform DOWN")
	if got := strings.Count(r.stdout, "\n"); got > lines {
		t.Errorf("got %d lines, want at most %d:\n%s", got, lines, r.stdout)
	}
	var whole operator.Status
	data := run("", "status", "--json", "--vm", startVM(t, status, operator.Explain{})).stdout
	if err := json.Unmarshal([]byte(data), &whole); err != nil || len(whole.VMs) != vms {
		t.Errorf("got %d VMs in JSON, decode error %v; want all VMs", len(whole.VMs), err)
	}
}

func TestStatusDoesNotCountVMWithUnknownConfigAsBehind(t *testing.T) {
	status := operator.Status{VMs: []operator.VM{
		{ID: "vm-1", FailureDomain: "a", Alive: true, ConfigDigest: 7},
		{ID: "vm-2", FailureDomain: "a", Alive: true, ConfigDigest: 7},
		{ID: "vm-3", FailureDomain: "a", Alive: true, ConfigDigest: 6},
		{ID: "vm-4", FailureDomain: "a", Alive: true},
	}}
	run("", "status", "--vm", startVM(t, status, operator.Explain{})).want(t, ExitOK, "a       4    4      1")
}

func TestStatusErrorGivesHTTPStatusOrAdvice(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	addr := strings.TrimPrefix(server.URL, "http://")
	run("", "status", "--vm", addr).want(t, ExitFailed, "answered 404")
	server.Close()
	run("", "status", "--vm", addr).want(t, ExitFailed, "next: check --vm")
}

func TestCompletionScriptIsPrintedForEachShell(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish"} {
		run("", "completion", shell).want(t, ExitOK, "kumquatcleat")
	}
}
