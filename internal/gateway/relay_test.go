package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kumquatcleat/internal/dispatch"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/membudget"
	"kumquatcleat/internal/rows"
)

// relayTo returns the relays of a VM of domain a that knows VMs at addresses, by domain.
func relayTo(t *testing.T, addresses map[string][]string) *relays {
	t.Helper()
	s := testSettings("vm-self", "a")
	p := newPeers(s, nil)
	var changed []rows.Row
	for domain, list := range addresses {
		for i, address := range list {
			value, err := json.Marshal(vmRow{PeerAddress: strings.TrimPrefix(address, "http://"), FailureDomain: domain, Strength: 1})
			if err != nil {
				t.Fatal(err)
			}
			changed = append(changed, rows.Row{Key: fmt.Sprint("vm-", domain, i), Value: value, Version: 1})
		}
	}
	p.apply(changed)
	return newRelays(p, membudget.New(1<<20), membudget.New(1<<20), 1<<20)
}

// relayServer is a VM that serves the relayed requests of others.
func relayServer(t *testing.T, serve func(context.Context, *dispatch.Request) *dispatch.Answer) *httptest.Server {
	t.Helper()
	s := relayTo(t, nil)
	s.serve, s.version, s.ready = serve, func() uint64 { return 5 }, func() bool { return true }
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathRelay, s.receive)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server
}

func callerRequest(method, body string) *dispatch.Request {
	return &dispatch.Request{
		ID: "r1", Method: method, Target: "/p/x%20y?q=1&q=2", Path: "/p/x y", Host: "shop.example", Key: 7, HasKey: true, Body: []byte(body),
		Header:       http.Header{"X-Caller": {"a", "b"}, "Content-Type": {"text/x"}, relayTarget: {"/smuggled"}},
		AnswerMemory: membudget.New(1 << 20).Open(),
	}
}

func send(s *relays, r *dispatch.Request) dispatch.RelayResult {
	return s.Send(context.Background(), r, time.Now().Add(2*time.Second), 5)
}

// The other VM gets the request as the caller sent it, and the caller the answer as the server
// sent it.
func TestRelayedRequestAndAnswerAreUnchanged(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodHead} {
		var got *dispatch.Request
		answer := &dispatch.Answer{Status: 203, Header: http.Header{"X-Signature": {"s"}, "X-Many": {"1", "2"}, "Content-Length": {"4"}}, Body: []byte("body")}
		if method == http.MethodHead {
			answer.Body = nil
		}
		server := relayServer(t, func(_ context.Context, r *dispatch.Request) *dispatch.Answer {
			got = r
			return answer
		})
		body := ""
		if method == http.MethodPost {
			body = "payload"
		}
		sent := callerRequest(method, body)
		result := send(relayTo(t, map[string][]string{"a": {server.URL}}), sent)
		if result.Answer == nil {
			t.Fatalf("%s: got result %+v, want an answer", method, result)
		}
		if got.ID != sent.ID || got.Method != method || got.Target != sent.Target || got.Path != sent.Path || got.Host != sent.Host || got.Key != 7 || !got.HasKey || string(got.Body) != body || !got.Relayed {
			t.Errorf("%s: the other VM got %+v, want %+v", method, got, sent)
		}
		if !slices.Equal(got.Header["X-Caller"], []string{"a", "b"}) || got.Timeout > 2*time.Second || got.Timeout < time.Second {
			t.Errorf("%s: the other VM got headers %v, timeout %v", method, got.Header, got.Timeout)
		}
		for name := range got.Header {
			if name != "X-Caller" && name != "Content-Type" {
				t.Errorf("%s: the other VM got header %s, which the caller did not send", method, name)
			}
		}
		a := result.Answer
		if a.Status != 203 || a.Refusal != "" || string(a.Body) != string(answer.Body) || a.Header.Get("X-Signature") != "s" ||
			!slices.Equal(a.Header["X-Many"], []string{"1", "2"}) || a.Header.Get("Content-Length") != "4" {
			t.Errorf("%s: got answer %d %v %q, want that of the server", method, a.Status, a.Header, a.Body)
		}
		for _, name := range append(relayHeaders, "Date") {
			if a.Header.Get(name) != "" {
				t.Errorf("%s: got header %s, which the server did not send", method, name)
			}
		}
	}
}

// A refusal of the other VM stays what it is: what it promises, its status and its hint.
func TestRelayedRefusalIsUnchanged(t *testing.T) {
	want := dispatch.Answer{Status: 429, Refusal: fault.Overloaded, Message: "full: 3 < 4", RetryAfter: 120 * time.Millisecond}
	server := relayServer(t, func(context.Context, *dispatch.Request) *dispatch.Answer { return &want })
	result := send(relayTo(t, map[string][]string{"a": {server.URL}}), callerRequest(http.MethodGet, ""))
	if a := result.Answer; a == nil || a.Status != want.Status || a.Refusal != want.Refusal || a.Message != want.Message || a.RetryAfter != want.RetryAfter {
		t.Fatalf("got %+v, want %+v", result.Answer, want)
	}
}

// VMs that can't take a request, as they reach no server either, stop, have an older
// configuration, are of an earlier version or are down, are passed over and left alone for a
// while. A VM of this domain goes before others.
func TestRelaysPassOverVMsThatCannotServe(t *testing.T) {
	var asked, served, remote atomic.Int64
	isolated := relayServer(t, func(context.Context, *dispatch.Request) *dispatch.Answer {
		asked.Add(1)
		return dispatch.Refuse(fault.Isolated, "no server")
	})
	answer := func(count *atomic.Int64) func(context.Context, *dispatch.Request) *dispatch.Answer {
		return func(context.Context, *dispatch.Request) *dispatch.Answer {
			count.Add(1)
			return &dispatch.Answer{Status: 200, Header: http.Header{}}
		}
	}
	old := httptest.NewServer(http.NewServeMux())
	defer old.Close()
	s := relayTo(t, map[string][]string{
		"a": {isolated.URL, old.URL, "127.0.0.1:1", relayServer(t, answer(&served)).URL},
		"b": {relayServer(t, answer(&remote)).URL},
	})
	for range 30 {
		if result := send(s, callerRequest(http.MethodGet, "")); result.Answer == nil || result.Answer.Status != 200 {
			t.Fatalf("got %+v, want an answer", result)
		}
	}
	// Of the three that can't, one request may meet two and turn to another domain.
	if served.Load()+remote.Load() != 30 || remote.Load() > 1 || asked.Load() > 1 {
		t.Errorf("got %d requests at the VM of this domain that serves, %d at the one of another, %d at the one that can't, want 30 in all, at most 1 and at most 1",
			served.Load(), remote.Load(), asked.Load())
	}
	result := s.Send(context.Background(), callerRequest(http.MethodGet, ""), time.Now().Add(time.Second), 6)
	if result.Answer != nil || result.Sent {
		t.Errorf("VMs with an older configuration: got %+v, want no answer and nothing sent", result)
	}
}

// Once a request may have run, no other VM gets it, and an answer that ends early is none.
func TestRelayedRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	for name, respond := range map[string]string{
		"no answer":            "",
		"head cut":             "HTTP/1.1 200 OK\r\nKumquatcleat-Relay-Outcome: answered\r\nContent-Le",
		"body cut":             "HTTP/1.1 200 OK\r\nKumquatcleat-Relay-Outcome: answered\r\nContent-Length: 10\r\n\r\n123",
		"chunk cut":            "HTTP/1.1 200 OK\r\nKumquatcleat-Relay-Outcome: answered\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123",
		"no HTTP":              "\x00\x01\x02\x03",
		"unknown outcome":      "HTTP/1.1 200 OK\r\nKumquatcleat-Relay-Outcome: maybe\r\nContent-Length: 0\r\n\r\n",
		"refusal not in order": "HTTP/1.1 200 OK\r\nKumquatcleat-Relay-Outcome: refused\r\nKumquatcleat-Relay-Status: 200\r\nContent-Length: 0\r\n\r\n",
	} {
		var requests, others atomic.Int64
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 4096))
				requests.Add(1)
				_, _ = io.WriteString(c, respond)
				_ = c.Close()
			}
		}()
		other := relayServer(t, func(context.Context, *dispatch.Request) *dispatch.Answer {
			others.Add(1)
			return &dispatch.Answer{Status: 200}
		})
		s := relayTo(t, map[string][]string{"a": {listener.Addr().String()}, "b": {other.URL}})
		result := send(s, callerRequest(http.MethodPost, "payload"))
		_ = listener.Close()
		if result.Answer != nil || !result.Sent || result.Err == nil {
			t.Errorf("%s: got %+v, want sent without an answer", name, result)
		}
		if requests.Load() != 1 || others.Load() != 0 {
			t.Errorf("%s: got %d requests at the first VM, %d at another, want 1 and 0", name, requests.Load(), others.Load())
		}
	}
}

// If the caller leaves, the other VM ends its work for it.
func TestCallerThatLeavesEndsRelayedRequest(t *testing.T) {
	ended := make(chan error, 1)
	server := relayServer(t, func(ctx context.Context, _ *dispatch.Request) *dispatch.Answer {
		<-ctx.Done()
		ended <- ctx.Err()
		return &dispatch.Answer{Abandoned: true}
	})
	s := relayTo(t, map[string][]string{"a": {server.URL}})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	result := s.Send(ctx, callerRequest(http.MethodGet, ""), time.Now().Add(5*time.Second), 5)
	if result.Answer != nil || !errors.Is(result.Err, context.Canceled) {
		t.Errorf("got %+v, want canceled", result)
	}
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("the other VM still works on the request")
	}
}

// Guards against callers who are refused because all VMs of a large failure domain are isolated:
// trying these one after the other took all tries of a request.
func TestRequestsOfIsolatedDomainReachOtherDomains(t *testing.T) {
	able := relayServer(t, func(context.Context, *dispatch.Request) *dispatch.Answer {
		return &dispatch.Answer{Status: 200, Header: http.Header{}}
	})
	var local []string
	for range 60 {
		isolated := relayServer(t, func(context.Context, *dispatch.Request) *dispatch.Answer {
			return dispatch.Refuse(fault.Isolated, "no server")
		})
		local = append(local, isolated.URL)
	}
	s := relayTo(t, map[string][]string{"a": local, "b": {able.URL}})
	for n := range 40 {
		if result := send(s, callerRequest(http.MethodGet, "")); result.Answer == nil || result.Answer.Status != 200 {
			t.Fatalf("request %d: got %+v, want an answer", n, result)
		}
	}
}

// Guards against a VM that stops with requests of other VMs: those it has no time for, or whose
// body arrives after the stop began, are served by another VM, and none counts as answered before
// its answer is sent.
func TestStoppingVMLeavesRelayedRequestsToOthers(t *testing.T) {
	answered := func(context.Context, *dispatch.Request) *dispatch.Answer {
		return &dispatch.Answer{Status: 200, Header: http.Header{}}
	}
	able := relayServer(t, answered)
	noTime := relayServer(t, func(context.Context, *dispatch.Request) *dispatch.Answer {
		return dispatch.Refuse(fault.Stopping, "ends sooner")
	})
	s := relayTo(t, map[string][]string{"a": {noTime.URL}, "b": {able.URL}})
	if result := send(s, callerRequest(http.MethodPost, "payload")); result.Answer == nil || result.Answer.Status != 200 {
		t.Errorf("no time: got %+v, want the answer of another VM", result)
	}

	stopping := relayTo(t, nil)
	stops := false
	stopping.serve, stopping.version = answered, func() uint64 { return 5 }
	stopping.ready = func() bool {
		before := stops
		stops = true // right after the request was accepted
		return !before
	}
	request := httptest.NewRequest(http.MethodPost, pathRelay, strings.NewReader("payload"))
	request.Header.Set(relayVersion, "5")
	request.Header.Set(relayTimeout, "1000000")
	response := httptest.NewRecorder()
	stopping.receive(response, request)
	if got := response.Header().Get(relayOutcome); got != relayUnable {
		t.Errorf("stop while the body arrives: got outcome %q, want %q", got, relayUnable)
	}
}

// Guards against a process that ends between the service of another VM's request and the
// sending of its answer: until that, the request counts as being received.
func TestRelayedAnswerIsSentBeforeRequestCountsAsDone(t *testing.T) {
	s := relayTo(t, nil)
	s.serve, s.version, s.ready = func(context.Context, *dispatch.Request) *dispatch.Answer {
		return &dispatch.Answer{Status: 200, Header: http.Header{}, Body: []byte("whole")}
	}, func() uint64 { return 5 }, func() bool { return true }
	request := httptest.NewRequest(http.MethodPost, pathRelay, strings.NewReader("payload"))
	request.Header.Set(relayVersion, "5")
	request.Header.Set(relayTimeout, "1000000")
	response := &flushRecorder{ResponseRecorder: httptest.NewRecorder(), relays: s}
	s.receive(response, request)
	if response.receivingAtFlush != 1 || response.bytesAtFlush != len("whole") || s.receiving.Load() != 0 {
		t.Errorf("got %d requests and %d bytes at the flush, %d requests after it; want 1, %d and 0",
			response.receivingAtFlush, response.bytesAtFlush, s.receiving.Load(), len("whole"))
	}
	if got := response.Header().Get("Content-Length"); got != "5" {
		t.Errorf("got Content-Length %q, want 5: with chunks the response is not complete at the flush", got)
	}
}

// flushRecorder records the state at a flush.
type flushRecorder struct {
	*httptest.ResponseRecorder
	relays           *relays
	receivingAtFlush int64
	bytesAtFlush     int
}

// Flush implements http.Flusher.
func (r *flushRecorder) Flush() {
	r.receivingAtFlush, r.bytesAtFlush = r.relays.receiving.Load(), r.Body.Len()
}

// Guards against a request that runs at several servers because its answer is a redirect: the VM
// that sends it through another one returns that answer, and calls no address that it names.
func TestRedirectOfServerIsTheAnswerToRelayedRequest(t *testing.T) {
	var elsewhere atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { elsewhere.Add(1) }))
	defer other.Close()
	for _, status := range []int{301, 302, 303, 307, 308} {
		for _, location := range []string{"/p/made", other.URL + "/p/made"} {
			for _, method := range []string{http.MethodPost, http.MethodGet} {
				var served atomic.Int64
				serve := func(context.Context, *dispatch.Request) *dispatch.Answer {
					served.Add(1)
					return &dispatch.Answer{Status: status, Header: http.Header{"Location": {location}}}
				}
				s := relayTo(t, map[string][]string{"a": {relayServer(t, serve).URL, relayServer(t, serve).URL}, "b": {relayServer(t, serve).URL}})
				result := send(s, callerRequest(method, ""))
				if result.Answer == nil || result.Answer.Status != status || result.Answer.Header.Get("Location") != location {
					t.Errorf("%s, %d to %s: got %+v, want the answer of the server", method, status, location, result)
				}
				if n := served.Load(); n != 1 {
					t.Errorf("%s, %d to %s: served %d times, want once", method, status, location, n)
				}
			}
		}
	}
	if n := elsewhere.Load(); n != 0 {
		t.Errorf("got %d calls to the address of the redirect, want none", n)
	}
}
