package routing

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"kumquatcleat/internal/httpstatus/statustest"
	"kumquatcleat/internal/retry"
)

// Guards against a server in trouble whose answer has no valid status: the caller got it, or no
// answer at all, and the decision log did not tell why.
func TestInvalidStatusOfServerIsNoAnswer(t *testing.T) {
	for _, a := range append(statustest.Answers(""), statustest.Switching("")) {
		t.Run(a.Name, func(t *testing.T) {
			raw := statustest.Serve(t, a.Text)
			r := newTestRouter(t, raw.Address, retry.NoRetry{})
			began := time.Now()
			resp, body, err := r.do(t, http.MethodPost, "/shop/x", "swap", HeaderTimeout, "3000")
			if err != nil {
				t.Fatalf("the caller got no answer: %v", err)
			}
			if took := time.Since(began); took > statustest.MaxTime {
				t.Errorf("the answer took %v", took)
			}
			if resp.StatusCode != http.StatusBadGateway || resp.Header.Get(HeaderOutcome) != "unknown" {
				t.Errorf("got status %d, outcome %q, body %q; want 502 and unknown", resp.StatusCode, resp.Header.Get(HeaderOutcome), body)
			}
			raw.CheckReset(t)
			if log := r.decisionLines(); strings.Count(log, a.Reason) != 2 {
				t.Errorf("want %q in the lines of the attempt and of the refusal, got:\n%s", a.Reason, log)
			}
		})
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
