package serverconn

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"kumquatcleat/internal/endless"
	"kumquatcleat/internal/registry"
)

// endlessAnswers are the ways in which a server may send bytes without end.
func endlessAnswers() []endless.Answer {
	return append(endless.Answers("Request-Id: 1\r\nSignature: x\r\n"),
		endless.Answer{Name: "answers to other requests", Repeated: "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSignature: x\r\nContent-Length: 2\r\n\r\nno"},
		endless.Answer{Name: "body of another request", Head: "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSignature: x\r\n\r\n", Repeated: "a"},
		endless.Answer{Name: "body of an unsigned answer", Head: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n", Repeated: "a"})
}

// endlessDeadline is the deadline of a request to such a server.
const endlessDeadline = 3 * time.Second

// An attempt at a server that sends bytes without end fails before its deadline, with a
// bounded heap, and states the cause. An endless body that is not needed whole is streamed instead,
// with a bounded heap, until the stream is closed.
func TestEndlessAnswerIsCut(t *testing.T) {
	for i, a := range append(endlessAnswers(), endlessAnswers()...) {
		whole := i < len(endlessAnswers())
		t.Run(fmt.Sprint(a.Name, ", whole ", whole), func(t *testing.T) {
			server := &registry.Server{ID: "s1", Incarnation: 1, Address: endless.Serve(t, a)}
			s := newSender()
			var response *Response
			var failure *Failure
			endless.Check(t, func() {
				response, failure = s.Do(context.Background(), &Request{
					ID: "1", Method: "GET", Target: "/x", Host: "h", Header: http.Header{},
					Deadline: time.Now().Add(endlessDeadline), Server: server, Idempotent: true, Whole: whole,
				})
				for got := 0; failure == nil && got < 2*endless.HeapBytes; {
					part, err := response.Stream.Next()
					if err != nil {
						t.Fatalf("after %d bytes: %v", got, err)
					}
					got += len(part)
				}
			})
			if !whole && (a.Name == "chunks" || a.Name == "body up to the end of the connection") {
				if response == nil {
					t.Fatalf("got failure %v, want a stream", failure)
				}
				if response.Stream.Close(); s.pool.HasIdle(server) {
					t.Error("a connection with unread bytes is used again")
				}
				return
			}
			if failure == nil || failure.Progress != Sent || !errors.Is(failure.Err, errInvalidAnswer) {
				t.Errorf("got failure %v, want an invalid answer with progress Sent", failure)
			}
		})
	}
}

// The same holds for control calls, whose answers are read on other connections.
func TestEndlessAnswerToControlCallIsCut(t *testing.T) {
	for _, a := range endlessAnswers() {
		t.Run(a.Name, func(t *testing.T) {
			server := &registry.Server{ID: "s1", Incarnation: 1, Address: endless.Serve(t, a)}
			s := newSender()
			endless.Check(t, func() {
				ctx, cancel := context.WithTimeout(context.Background(), endlessDeadline)
				defer cancel()
				_, _ = s.Call(ctx, ControlCall{Server: server, Path: "/grant", Guard: func() bool { return true }})
			})
			if c := s.pool.takeFromSession(server, 0); c != nil {
				t.Error("a connection with unread bytes is used again")
			}
		})
	}
}
