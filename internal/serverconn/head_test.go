package serverconn

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"kumquatcleat/internal/httphead/headtest"
	"kumquatcleat/internal/registry"
)

const answerHeader = "Request-Id: 1\r\nSignature: x\r\n"

// namesReason reports whether an error names why an answer is invalid, in the words of net/http for
// those that it refuses by itself.
func namesReason(err error, a headtest.Answer) bool {
	return strings.Contains(err.Error(), a.Reason) || strings.Contains(err.Error(), "malformed MIME header")
}

// Guards against a server in trouble whose answer has an invalid status or field name: its caller waited
// until the deadline, or got the status or the field, or got a body that is not that of the answer.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	for _, a := range headtest.Answers(answerHeader) {
		t.Run(a.Name, func(t *testing.T) {
			raw := headtest.Serve(t, a.Text)
			began := time.Now()
			response, failure := send(newSender(), &registry.Server{ID: "s1", Incarnation: 1, Address: raw.Address}, "1", true)
			if response != nil {
				t.Fatalf("got status %d with body %q as an answer", response.Status, response.Body)
			}
			if failure.Progress != Sent || !errors.Is(failure.Err, errInvalidAnswer) || !namesReason(failure, a) {
				t.Errorf("got failure %v with progress %v, want %q of a request that may have run", failure, failure.Progress, a.Reason)
			}
			if took := time.Since(began); took > headtest.MaxTime/2 {
				t.Errorf("the attempt took %v", took)
			}
			raw.CheckReset(t)
		})
	}
}

// The same holds for control calls: a grant that a server answers with such a head is not confirmed.
func TestInvalidHeadOfControlCallIsNoAnswer(t *testing.T) {
	for _, a := range headtest.Answers("") {
		t.Run(a.Name, func(t *testing.T) {
			raw := headtest.Serve(t, a.Text)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			answer, failure := newSender().Call(ctx, ControlCall{
				Server: &registry.Server{ID: "s1", Incarnation: 1, Address: raw.Address}, Path: "/grant", Guard: func() bool { return true },
			})
			if failure == nil || !namesReason(failure, a) {
				t.Errorf("got status %d, failure %v; want %q", answer.Status, failure, a.Reason)
			}
			raw.CheckReset(t)
		})
	}
}

// Guards against the belief in a refusal whose head is invalid: its promise that the request did not run
// would be passed on.
func TestRefusalInInvalidHeadIsNotBelieved(t *testing.T) {
	raw := headtest.Serve(t, "HTTP/1.1 503 No\r\nRequest-Id: 1\r\nNot-Started: 1\r\nX Note: a\r\nContent-Length: 0\r\n\r\n")
	response, failure := send(newSender(), &registry.Server{ID: "s1", Incarnation: 1, Address: raw.Address}, "1", false)
	if response != nil || failure.Progress != Sent || !errors.Is(failure.Err, errInvalidAnswer) {
		t.Errorf("got %+v, %+v; want an invalid answer to a request that may have run", response, failure)
	}
	raw.CheckReset(t)
}

// Guards against a check of field names that refuses valid heads: all bytes of a token, several fields
// of one name, folded lines and bytes above 0x7f in a value.
func TestValidFieldsAreAccepted(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~09azAZ"
	raw := headtest.Serve(t, "HTTP/1.1 200 OK\r\n"+answerHeader+token+": a\r\nX-Note: a\r\nX-Note:b\r\nX-Folded: a\r\n b c: d\r\n\te\r\nX-Empty:\r\nX-Text: \xe4 : b\r\nContent-Length: 2\r\n\r\nok")
	response, failure := send(newSender(), &registry.Server{ID: "s1", Incarnation: 1, Address: raw.Address}, "1", true)
	if failure != nil {
		t.Fatal(failure)
	}
	for name, want := range map[string][]string{http.CanonicalHeaderKey(token): {"a"}, "X-Note": {"a", "b"}, "X-Folded": {"a b c: d e"}, "X-Empty": {""}, "X-Text": {"\xe4 : b"}} {
		if got := response.Header[name]; !slices.Equal(got, want) {
			t.Errorf("got %q for %s, want %q", got, name, want)
		}
	}
}

// Guards against 101 as an answer: it is one interim answer like others, as no request asks for
// another protocol.
func TestSwitchingProtocolsIsInterim(t *testing.T) {
	text := headtest.Switching(answerHeader).Text + "HTTP/1.1 200 OK\r\n" + answerHeader + "Content-Length: 2\r\n\r\nok"
	raw := headtest.Serve(t, text)
	response, failure := send(newSender(), &registry.Server{ID: "s1", Incarnation: 1, Address: raw.Address}, "1", true)
	if failure != nil || response.Status != 200 || string(response.Body) != "ok" {
		t.Errorf("got %+v, %v; want the final answer", response, failure)
	}
}
