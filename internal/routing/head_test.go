package routing

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/httphead/headtest"
	"kumquatcleat/internal/retry"
)

// Guards against a server in trouble whose answer has an invalid status or field name: the caller got it
// with another body or without the field, or no answer at all, and the decision log did not tell why.
func TestInvalidHeadOfServerIsNoAnswer(t *testing.T) {
	for _, a := range append(headtest.Answers(""), headtest.Switching("")) {
		t.Run(a.Name, func(t *testing.T) {
			raw := headtest.Serve(t, a.Text)
			r := newTestRouter(t, raw.Address, retry.NoRetry{})
			began := time.Now()
			resp, body, err := r.do(t, http.MethodPost, "/shop/x", "swap", HeaderTimeout, "3000")
			if err != nil {
				t.Fatalf("the caller got no answer: %v", err)
			}
			if took := time.Since(began); took > headtest.MaxTime {
				t.Errorf("the answer took %v", took)
			}
			if resp.StatusCode != http.StatusBadGateway || resp.Header.Get(HeaderOutcome) != "unknown" {
				t.Errorf("got status %d, outcome %q, body %q; want 502 and unknown", resp.StatusCode, resp.Header.Get(HeaderOutcome), body)
			}
			raw.CheckReset(t)
			if log := r.decisionLines(); strings.Count(log, a.Reason) != 2 || strings.Count(log, "the answer of server s1 is invalid") != 2 {
				t.Errorf("want %q of an invalid answer in the lines of the attempt and of the refusal, got:\n%s", a.Reason, log)
			}
		})
	}
}

// Guards against the belief in a refusal whose head is invalid: its promise that the request did not run
// was passed on.
func TestRefusalInInvalidHeadIsNotBelieved(t *testing.T) {
	raw := headtest.Serve(t, "HTTP/1.1 503 No\r\n"+backend.HeaderNotStarted+": "+backend.NotStartedDraining+"\r\nX Note: a\r\nContent-Length: 0\r\n\r\n")
	r := newTestRouter(t, raw.Address, retry.NoRetry{})
	resp, _, err := r.do(t, http.MethodPost, "/shop/x", "swap")
	if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get(HeaderOutcome) != "unknown" {
		t.Errorf("got %+v, %v; want 502 and unknown", resp, err)
	}
	raw.CheckReset(t)
}

// Guards against a check of field names that refuses valid heads: all bytes of a token, several fields
// of one name, folded lines and bytes above 0x7f in a value.
func TestValidFieldsOfServerArePassedOn(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~09azAZ"
	raw := headtest.Serve(t, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n b c: d\r\n\r\nHTTP/1.1 200 OK\r\n"+token+": a\r\nX-Note: a\r\nX-Note:b\r\nX-Folded: a\r\n b c: d\r\n\te\r\nX-Empty:\r\nX-Text: \xe4 : b\r\nContent-Length: 2\r\n\r\nok")
	r := newTestRouter(t, raw.Address, retry.NoRetry{})
	resp, body, err := r.do(t, http.MethodGet, "/shop/x", "")
	if err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
		t.Fatalf("got %+v, body %q, error %v; want the answer", resp, body, err)
	}
	for name, want := range map[string][]string{http.CanonicalHeaderKey(token): {"a"}, "X-Note": {"a", "b"}, "X-Folded": {"a b c: d e"}, "X-Empty": {""}, "X-Text": {"\xe4 : b"}} {
		if got := resp.Header[name]; !slices.Equal(got, want) {
			t.Errorf("got %q for %s, want %q", got, name, want)
		}
	}
}

// Guards against a trailer with an invalid name that reaches the caller. It says nothing about where
// the answer ends, so the answer counts.
func TestInvalidTrailerIsNotPassedOn(t *testing.T) {
	raw := headtest.Serve(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\nX Note: a\r\nContent-Length : 1\r\n\r\n")
	r := newTestRouter(t, raw.Address, retry.NoRetry{})
	resp, body, err := r.do(t, http.MethodGet, "/shop/x", "")
	if err != nil || body != "ok" {
		t.Fatalf("got %+v, body %q, error %v; want the answer", resp, body, err)
	}
	if len(resp.Trailer) != 1 || resp.Trailer.Get("X-Sum") != "1" {
		t.Errorf("got trailers %q, want X-Sum only", resp.Trailer)
	}
}

// decisionLines returns the lines of the decision log.
func (r *testRouter) decisionLines() string {
	var out bytes.Buffer
	previous := slog.Default()
	defer slog.SetDefault(previous)
	slog.SetDefault(slog.New(slog.NewTextHandler(&out, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r.decisions.Run(ctx)
	return out.String()
}

// Guards against an invalid status that ends an idempotent request although another attempt may
// succeed, as after a lost connection.
func TestIdempotentRequestIsRetriedAfterInvalidStatus(t *testing.T) {
	address, requests := rawServer(t, func(conn net.Conn, _ *http.Request, number int64) bool {
		if number == 1 {
			_, _ = conn.Write([]byte("HTTP/1.1 600 No\r\nContent-Length: 0\r\n\r\n"))
			return true
		}
		answerOK(conn, "second")
		return true
	})
	r := newTestRouter(t, address, &retryOnce{})
	resp, body, err := r.do(t, http.MethodGet, "/shop/x", "")
	if err != nil || resp.StatusCode != http.StatusOK || body != "second" || requests.Load() != 2 {
		t.Errorf("got %v, body %q, error %v after %d requests; want the answer to the second", resp, body, err, requests.Load())
	}
}

// retryOnce retries idempotent requests once.
type retryOnce struct{ retry.NoRetry }

// Next implements retry.Policy.
func (*retryOnce) Next(a retry.Attempt) (bool, time.Duration) {
	return a.Idempotent && a.Number == 1, 0
}
