package serverconn

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"kumquatcleat/internal/httpstatus/statustest"
	"kumquatcleat/internal/registry"
)

const statusHeader = "Request-Id: 1\r\nSignature: x\r\n"

// Guards against a server in trouble whose answer has no valid status: its caller waited until
// the deadline, or got the status, or got the body of the answer as an answer of its own.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, a := range statustest.Answers(statusHeader) {
		t.Run(a.Name, func(t *testing.T) {
			raw := statustest.Serve(t, a.Text)
			began := time.Now()
			response, failure := send(newSender(), &registry.Server{ID: "s1", Incarnation: 1, Address: raw.Address}, "1", true)
			if response != nil {
				t.Fatalf("got status %d with body %q as an answer", response.Status, response.Body)
			}
			if failure.Progress != Sent || !errors.Is(failure.Err, errInvalidAnswer) || !strings.Contains(failure.Error(), "invalid status "+a.Status) {
				t.Errorf("got failure %v with progress %v, want the invalid status %s of a request that may have run", failure, failure.Progress, a.Status)
			}
			if took := time.Since(began); took > statustest.MaxTime/2 {
				t.Errorf("the attempt took %v", took)
			}
			raw.CheckReset(t)
		})
	}
}

// The same holds for control calls: a grant that a server answers with 000 is not confirmed.
func TestInvalidStatusOfControlCallIsNoAnswer(t *testing.T) {
	for _, a := range statustest.Answers("") {
		t.Run(a.Name, func(t *testing.T) {
			raw := statustest.Serve(t, a.Text)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			answer, failure := newSender().Call(ctx, ControlCall{
				Server: &registry.Server{ID: "s1", Incarnation: 1, Address: raw.Address}, Path: "/grant", Guard: func() bool { return true },
			})
			if failure == nil || !strings.Contains(failure.Error(), "invalid status "+a.Status) {
				t.Errorf("got status %d, failure %v; want the invalid status %s", answer.Status, failure, a.Status)
			}
			raw.CheckReset(t)
		})
	}
}

// Guards against 101 as an answer: it is one interim answer like others, as no request asks for
// another protocol.
func TestSwitchingProtocolsIsInterim(t *testing.T) {
	text := statustest.Switching(statusHeader).Text + "HTTP/1.1 200 OK\r\n" + statusHeader + "Content-Length: 2\r\n\r\nok"
	raw := statustest.Serve(t, text)
	response, failure := send(newSender(), &registry.Server{ID: "s1", Incarnation: 1, Address: raw.Address}, "1", true)
	if failure != nil || response.Status != 200 || string(response.Body) != "ok" {
		t.Errorf("got %+v, %v; want the final answer", response, failure)
	}
}
