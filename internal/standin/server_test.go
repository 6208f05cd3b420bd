package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"kumquatcleat/internal/backend"
)

const testGroup = "swapbay/a/0"

// leaseMS is longer than any test that does not wait for a lease to expire.
const leaseMS = 60000

type testServer struct {
	*Server
	url     string
	control backend.Controller
}

func startServer(t *testing.T, s ServerSettings) *testServer {
	t.Helper()
	s.ID = "s1"
	server := NewServer(s)
	httpServer := httptest.NewUnstartedServer(server)
	httpServer.Listener = server.Listener(httpServer.Listener)
	httpServer.Start()
	t.Cleanup(httpServer.Close)
	address := strings.TrimPrefix(httpServer.URL, "http://")
	return &testServer{Server: server, url: httpServer.URL, control: backend.NewControlClients().For(address)}
}

func (s *testServer) grantSlot(t *testing.T, slot uint32, token backend.Token, lease int64) {
	t.Helper()
	state, err := s.control.Grant(context.Background(), backend.GrantRequest{
		Group:     testGroup,
		Token:     token,
		Slots:     []backend.SlotToken{{Slot: slot, Token: token}},
		ExpiresAt: clockMS() + lease,
	})
	if err != nil || !state.Accepted {
		t.Fatalf("grant: got state %+v, error %v, want it accepted", state, err)
	}
}

type testCall struct {
	id, slot, token, work, deadline, body string
	header                                http.Header
}

func (s *testServer) send(c testCall) (*http.Response, string, error) {
	req, err := http.NewRequest(http.MethodPost, s.url+"/swapbay/listings/7", strings.NewReader(c.body))
	if err != nil {
		return nil, "", err
	}
	req.GetBody = nil
	for name, values := range c.header {
		req.Header[name] = values
	}
	for name, value := range map[string]string{
		backend.HeaderRequestID: c.id,
		backend.HeaderSlot:      c.slot,
		backend.HeaderToken:     c.token,
		backend.HeaderDeadline:  c.deadline,
		HeaderWorkMS:            c.work,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	req.Header.Set(backend.HeaderGroup, testGroup)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

func wantNotStarted(t *testing.T, s *testServer, c testCall, reason string) {
	t.Helper()
	resp, _, err := s.send(c)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(backend.HeaderNotStarted) != reason {
		t.Fatalf("got status %d, not-started reason %q, want 503 and %q", resp.StatusCode, resp.Header.Get(backend.HeaderNotStarted), reason)
	}
}

// started returns the records of the requests that started.
func (s *testServer) started() []RunRecord {
	refused := func(r RunRecord) bool { return r.Outcome == RunRefused }
	return slices.DeleteFunc(s.Runs(), refused)
}

// waitRunning waits until exactly count requests are running.
func (s *testServer) waitRunning(count int) {
	for {
		s.mu.Lock()
		running := len(s.running)
		s.mu.Unlock()
		if running == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestAnswerBelongsToItsRequest(t *testing.T) {
	s := startServer(t, ServerSettings{Checks: true})
	s.grantSlot(t, 3, backend.Token{Epoch: 1}, leaseMS)
	_, body, err := s.send(testCall{id: "r1", slot: "3", token: "1.0", body: "hello", header: http.Header{HeaderEcho: {"1"}}})
	if err != nil {
		t.Fatal(err)
	}
	var got RunAnswer
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		t.Fatal(err)
	}
	if got.RequestID != "r1" || string(got.Body) != "hello" || got.Slot == nil || *got.Slot != 3 {
		t.Fatalf("got answer %+v, want request r1, slot 3, body \"hello\"", got)
	}
}

func TestRequestWithWrongTokenOrSlotNotStarted(t *testing.T) {
	s := startServer(t, ServerSettings{Checks: true})
	s.grantSlot(t, 3, backend.Token{Epoch: 2}, leaseMS)
	wantNotStarted(t, s, testCall{slot: "3", token: "1.0"}, backend.NotStartedNotOwner)
	wantNotStarted(t, s, testCall{slot: "4", token: "2.0"}, backend.NotStartedNotOwner)
	if runs := s.started(); len(runs) != 0 {
		t.Fatalf("got runs %+v, want none", runs)
	}
}

func TestServerWithoutChecksRunsRequestWithoutGrant(t *testing.T) {
	s := startServer(t, ServerSettings{})
	resp, _, err := s.send(testCall{slot: "3", token: "1.0"})
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got response %v, error %v, want status 200", resp, err)
	}
}

func TestGrantWithOlderTokenRejected(t *testing.T) {
	s := startServer(t, ServerSettings{Checks: true})
	s.grantSlot(t, 3, backend.Token{Epoch: 2}, leaseMS)
	state := s.Grant(backend.GrantRequest{Group: testGroup, Token: backend.Token{Epoch: 1, Seq: 9}, ExpiresAt: clockMS() + leaseMS})
	if state.Accepted || len(state.Slots) != 1 {
		t.Fatalf("got state %+v, want the grant rejected and slot 3 kept", state)
	}
}

func TestRenewalAfterLeaseExpiryRejected(t *testing.T) {
	s := startServer(t, ServerSettings{Checks: true})
	s.grantSlot(t, 3, backend.Token{Epoch: 1}, 20)
	time.Sleep(30 * time.Millisecond)
	renewal := backend.GrantRequest{Group: testGroup, Token: backend.Token{Epoch: 1}, Renew: true, ExpiresAt: clockMS() + leaseMS}
	if state := s.Grant(renewal); state.Accepted || len(state.Slots) != 0 {
		t.Fatalf("got state %+v, want the renewal rejected and no slots", state)
	}
	wantNotStarted(t, s, testCall{slot: "3", token: "1.0"}, backend.NotStartedNotOwner)
}

func TestRevokeCountsRunningRequests(t *testing.T) {
	s := startServer(t, ServerSettings{Checks: true})
	s.grantSlot(t, 3, backend.Token{Epoch: 1}, leaseMS)
	ended := make(chan error, 1)
	go func() {
		_, _, err := s.send(testCall{id: "r1", slot: "3", token: "1.0", work: "60000"})
		ended <- err
	}()
	s.waitRunning(1)
	revoke := backend.RevokeRequest{Group: testGroup, Token: backend.Token{Epoch: 1, Seq: 1}, Slots: []uint32{3}}
	state, err := s.control.Revoke(context.Background(), revoke)
	if err != nil || !state.Accepted || state.Running != 1 || len(state.Slots) != 0 {
		t.Fatalf("revoke: got state %+v, error %v, want it accepted, 1 running, no slots", state, err)
	}
	wantNotStarted(t, s, testCall{slot: "3", token: "1.0"}, backend.NotStartedNotOwner)
	if err := s.control.Cancel(context.Background(), "r1"); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if state, err := s.control.Revoke(context.Background(), revoke); err != nil || state.Running != 0 {
		t.Fatalf("revoke after the cancellation: got state %+v, error %v, want 0 running", state, err)
	}
}

func TestRunStoppedWhenLeaseExpiresDuringFreeze(t *testing.T) {
	s := startServer(t, ServerSettings{Checks: true})
	s.grantSlot(t, 3, backend.Token{Epoch: 1}, 150)
	lost := make(chan error, 1)
	go func() {
		_, _, err := s.send(testCall{slot: "3", token: "1.0", work: "100"})
		lost <- err
	}()
	s.waitRunning(1)
	s.SetFaults(ServerFaults{FrozenMS: 300})
	if err := <-lost; err == nil {
		t.Fatal("a run whose lease expired during a freeze was answered")
	}
	runs := s.Runs()
	if len(runs) != 1 || runs[0].Outcome != RunLeaseExpired {
		t.Fatalf("got runs %+v, want one with outcome lapsed", runs)
	}
	if expiry := s.leases[testGroup].expiry * int64(time.Millisecond); runs[0].EndNS > expiry {
		t.Fatalf("run ended %d ns after its lease expired", runs[0].EndNS-expiry)
	}
}

func TestRunOfExpiredLeaseNotResumedByNewGrant(t *testing.T) {
	s := NewServer(ServerSettings{ID: "s1", Checks: true})
	token := backend.Token{Epoch: 1}
	grant := backend.GrantRequest{Group: testGroup, Token: token, Slots: []backend.SlotToken{{Slot: 3, Token: token}}, ExpiresAt: clockMS() + 20}
	s.Grant(grant)
	r := &run{record: RunRecord{Group: testGroup, Slot: 3, Token: "1.0"}, hasSlot: true}
	if _, refusal := s.startOrEnqueue(r, MonotonicNow()+int64(time.Hour)); refusal != "" {
		t.Fatal(refusal)
	}
	time.Sleep(30 * time.Millisecond)
	grant.ExpiresAt = clockMS() + leaseMS
	if state := s.Grant(grant); !state.Accepted {
		t.Fatalf("second grant: got state %+v, want it accepted", state)
	}
	if outcome, _ := s.checkProgress(r, 0, MonotonicNow()+int64(time.Hour)); outcome != RunLeaseExpired {
		t.Fatalf("got outcome %s, want lapsed", outcome)
	}
}

func TestRequestShedWhenQueueFull(t *testing.T) {
	s := startServer(t, ServerSettings{Slots: 1, Queue: 1})
	var wait sync.WaitGroup
	wait.Go(func() { _, _, _ = s.send(testCall{id: "r1", work: "60000"}) })
	s.waitRunning(1)
	wait.Go(func() { _, _, _ = s.send(testCall{id: "r2", work: "60000"}) })
	for {
		s.mu.Lock()
		queued := len(s.queue)
		s.mu.Unlock()
		if queued == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	wantNotStarted(t, s, testCall{id: "r3"}, backend.NotStartedShed)
	s.Cancel("r2")
	s.Cancel("r1")
	wait.Wait()
	if runs := s.started(); len(runs) != 1 || runs[0].RequestID != "r1" || runs[0].Outcome != RunCanceled {
		t.Fatalf("got runs %+v, want only r1, canceled", runs)
	}
}

func TestRequestNotStartedAfterDeadlineInQueue(t *testing.T) {
	s := startServer(t, ServerSettings{Slots: 1, Queue: 1})
	done := make(chan struct{})
	go func() {
		_, _, _ = s.send(testCall{id: "r1", work: "60000"})
		close(done)
	}()
	s.waitRunning(1)
	wantNotStarted(t, s, testCall{id: "r2", deadline: "20"}, backend.NotStartedDeadline)
	s.Cancel("r1")
	<-done
	if runs := s.started(); len(runs) != 1 {
		t.Fatalf("got runs %+v, want one", runs)
	}
}

func TestRunStoppedAtDeadline(t *testing.T) {
	s := startServer(t, ServerSettings{})
	resp, _, err := s.send(testCall{work: "60000", deadline: "20"})
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout || resp.Header.Get(backend.HeaderNotStarted) != "" {
		t.Fatalf("got response %v, error %v, want status 504 without a not-started reason", resp, err)
	}
}

func TestDuplicateRequestIDGetsStoredAnswer(t *testing.T) {
	s := startServer(t, ServerSettings{HonoursID: true})
	_, first, err := s.send(testCall{id: "r1", body: "x"})
	if err != nil {
		t.Fatal(err)
	}
	_, second, err := s.send(testCall{id: "r1", body: "x"})
	if err != nil || first != second {
		t.Fatalf("got answers %q and %q, error %v, want the same answer twice", first, second, err)
	}
	if runs := s.started(); len(runs) != 1 {
		t.Fatalf("got runs %+v, want one", runs)
	}
}

func TestDrainRefusesNewRequestsAndFinishesRunningOnes(t *testing.T) {
	s := startServer(t, ServerSettings{})
	answered := make(chan int, 1)
	go func() {
		resp, _, err := s.send(testCall{id: "r1", work: "100"})
		if err == nil {
			answered <- resp.StatusCode
		}
		close(answered)
	}()
	s.waitRunning(1)
	s.Drain(true)
	wantNotStarted(t, s, testCall{id: "r2"}, backend.NotStartedDraining)
	if status := <-answered; status != http.StatusOK {
		t.Fatalf("running request: got status %d, want 200", status)
	}
}

func TestCrashLosesGrantsAndRunningRequests(t *testing.T) {
	s := startServer(t, ServerSettings{Checks: true, Faults: ServerFaults{CrashHeader: "X-Crash"}})
	s.grantSlot(t, 3, backend.Token{Epoch: 1}, leaseMS)
	before := s.State(testGroup).Incarnation
	lost := make(chan error, 1)
	go func() {
		_, _, err := s.send(testCall{id: "r1", slot: "3", token: "1.0", work: "100"})
		lost <- err
	}()
	s.waitRunning(1)
	if _, _, err := s.send(testCall{id: "r2", slot: "3", token: "1.0", header: http.Header{"X-Crash": {"1"}}}); err == nil {
		t.Fatal("the request that crashed the server was answered")
	}
	if err := <-lost; err == nil {
		t.Fatal("a request that was running at the crash was answered")
	}
	if state := s.State(testGroup); len(state.Slots) != 0 || state.Incarnation == before {
		t.Fatalf("got state %+v, want no slots and a new incarnation", state)
	}
}

func TestCutAnswerReadWithError(t *testing.T) {
	s := startServer(t, ServerSettings{Faults: ServerFaults{CutAnswer: true}})
	_, body, err := s.send(testCall{body: "x"})
	if err == nil {
		t.Fatalf("a truncated answer was read without an error: %q", body)
	}
}

// Guards against a fault that net/http turns into a panic: its handlers can't send these statuses.
func TestAnswerWithGivenStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		s := startServer(t, ServerSettings{Faults: ServerFaults{AnswerStatus: status}})
		if got, _, err := s.send(testCall{body: "x"}); err != nil || fmt.Sprintf("%03d", got.StatusCode) != status {
			t.Errorf("got %v, %v; want status %s", got, err, status)
		}
	}
}

func TestGrantForEarlierIncarnationRejected(t *testing.T) {
	s := startServer(t, ServerSettings{Slots: 1, Checks: true})
	token := backend.Token{Epoch: 1, Seq: 1}
	grant := backend.GrantRequest{
		Group: testGroup, Token: token, Incarnation: "an earlier start",
		Slots: []backend.SlotToken{{Slot: 3, Token: token}}, ExpiresAt: clockMS() + leaseMS,
	}
	if state := s.Grant(grant); state.Accepted || state.Held != 0 {
		t.Fatalf("grant for an earlier incarnation: got state %+v, want it rejected", state)
	}
	grant.Incarnation = s.State(testGroup).Incarnation
	if state := s.Grant(grant); !state.Accepted || state.Held != 1 {
		t.Fatalf("grant for the current incarnation: got state %+v, want it accepted", state)
	}
}

func TestGrantAppliedWhenAnswerLost(t *testing.T) {
	s := startServer(t, ServerSettings{Checks: true, Faults: ServerFaults{LoseGrantAnswers: true}})
	token := backend.Token{Epoch: 1}
	_, err := s.control.Grant(context.Background(), backend.GrantRequest{
		Group: testGroup, Token: token, Slots: []backend.SlotToken{{Slot: 3, Token: token}}, ExpiresAt: clockMS() + leaseMS,
	})
	if err == nil {
		t.Fatal("grant: got an answer, want an error")
	}
	if state := s.State(testGroup); len(state.Slots) != 1 {
		t.Fatalf("got state %+v, want one slot", state)
	}
}

func TestFalseHealthAndLoadReported(t *testing.T) {
	utilized := 0.0
	s := startServer(t, ServerSettings{Slots: 1, Faults: ServerFaults{LieHealth: "healthy", LieUtilized: &utilized, Draining: true}})
	done := make(chan struct{})
	s.Drain(false)
	go func() {
		_, _, _ = s.send(testCall{id: "r1", work: "60000"})
		close(done)
	}()
	s.waitRunning(1)
	s.Drain(true)
	health, err := s.control.Health(context.Background())
	if err != nil || health.Draining || !health.Healthy {
		t.Fatalf("got health %+v, error %v, want healthy and not draining", health, err)
	}
	load, err := s.control.Load(context.Background())
	if err != nil || load.Running != 0 || load.Utilized != 0 {
		t.Fatalf("got load %+v, error %v, want 0 running and 0 utilized", load, err)
	}
	s.Cancel("r1")
	<-done
}
