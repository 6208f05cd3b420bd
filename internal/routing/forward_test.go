package routing

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/limits"
	"kumquatcleat/internal/logging"
	"kumquatcleat/internal/retry"
)

// unlimitedGate admits every request.
type unlimitedGate struct{}

func (unlimitedGate) Acquire(context.Context, config.Server, config.Class) (limits.Permit, error) {
	return noopPermit{}, nil
}
func (unlimitedGate) InFlight(string) int { return 0 }
func (unlimitedGate) Load(string) float64 { return 0 }

// onePolicy returns the same retry policy for every service.
type onePolicy struct{ retry.Policy }

func (p onePolicy) For(string) retry.Policy { return p.Policy }

// noProber reports no server as lost.
type noProber struct{}

func (noProber) Lost(Target) bool { return false }

type noopPermit struct{}

func (noopPermit) Done(limits.Result, time.Duration) {}

// fixedResolver resolves every slot to one server.
type fixedResolver struct {
	server        config.Server
	rejectConfirm atomic.Bool // Confirm returns false
	staleReports  atomic.Int64
}

func (f *fixedResolver) Resolve(_ context.Context, _ *config.Service, slot uint32) (Target, error) {
	return Target{Server: f.server, Group: "shop/a/0", Slot: slot, Token: backend.Token{Epoch: 1, Seq: 2}, HasKey: true}, nil
}
func (f *fixedResolver) MarkStale(Target)    { f.staleReports.Add(1) }
func (f *fixedResolver) MarkDraining(Target) {}
func (f *fixedResolver) Confirm(Target) bool { return !f.rejectConfirm.Load() }

type oneService struct{ service *config.Service }

func (o oneService) Service(name string) (*config.Service, bool) {
	return o.service, name == o.service.Name
}
func (o oneService) Known() bool { return true }

type noClaims struct{}

func (noClaims) Claim(context.Context, string, string, string) (retry.Claim, retry.Verdict, error) {
	return noClaim{}, retry.ClaimFirst, nil
}

type noClaim struct{}

func (noClaim) Finished(context.Context) {}
func (noClaim) NotRun(context.Context)   {}

// noDeferrals refuses to defer requests and has no tickets.
type noDeferrals struct{}

func (noDeferrals) Accept(context.Context, string, string, bool, retry.DeferredRequest) error {
	return fault.New(fault.DeferralUnavailable, "none here")
}
func (noDeferrals) Status(context.Context, string, string) (retry.DeferredItem, error) {
	return retry.DeferredItem{}, fault.New(fault.NotFound, "none here")
}

type noCancel struct{}

func (noCancel) Cancel(string, string) {}

// testRouter is a router in front of one server.
type testRouter struct {
	*httptest.Server
	resolver   *fixedResolver
	quarantine *countingQuarantine
	decisions  *logging.Decisions
}

// countingQuarantine counts the runs that are reported to it.
type countingQuarantine struct {
	retry.Quarantine
	ran atomic.Int64
}

func (q *countingQuarantine) Ran(service string, request retry.Fingerprints) {
	q.ran.Add(1)
	q.Quarantine.Ran(service, request)
}

func newTestRouter(t testing.TB, address string, policy retry.Policy) *testRouter {
	t.Helper()
	server := config.Server{ID: "s1", FailureDomain: "a", Address: address, Slots: 6, Checks: true}
	service := &config.Service{
		Name: "shop", SlotCount: 8, Domains: []string{"a"}, Servers: []config.Server{server},
		Limits: config.Limits{MaxBodyBytes: 256 << 10},
	}
	resolver := &fixedResolver{server: server}
	quarantine := &countingQuarantine{Quarantine: retry.NewQuarantine(retry.DefaultQuarantineSettings(), time.Now)}
	decisions := logging.NewDecisions(metrics.NewRegistry())
	handler := NewHandler(Parts{
		Services: oneService{service}, Resolver: resolver, Gate: unlimitedGate{}, Policies: onePolicy{policy}, Prober: noProber{},
		Claimer: noClaims{}, Quarantine: quarantine,
		Transport: NewTransport(0), Canceler: noCancel{}, Deferrals: noDeferrals{},
		Decisions: decisions, Metrics: metrics.NewRegistry(),
	})
	front := httptest.NewServer(handler)
	t.Cleanup(front.Close)
	return &testRouter{Server: front, resolver: resolver, quarantine: quarantine, decisions: decisions}
}

func (r *testRouter) do(t *testing.T, method, path, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, r.URL+path, reader)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderKey, "k")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// rawServer accepts connections and passes each request to serve, which returns
// false to close the connection. It returns its address and the number of requests
// read so far.
func rawServer(t *testing.T, serve func(conn net.Conn, req *http.Request, number int64) bool) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var requests atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if !serve(conn, req, requests.Add(1)) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), &requests
}

func answerOK(conn net.Conn, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// net/http resends a replayable request by itself when the server closes a reused
// connection after reading the request. The server would then run it twice.
func TestNoImplicitResendOnReusedConnection(t *testing.T) {
	cases := []struct{ name, method, body string }{
		{"POST with a body and a key", http.MethodPost, "swap"},
		{"empty POST with a key", http.MethodPost, ""},
		{"GET", http.MethodGet, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, requests := rawServer(t, func(conn net.Conn, _ *http.Request, number int64) bool {
				if number == 1 {
					answerOK(conn, "first")
					return true
				}
				return false
			})
			r := newTestRouter(t, address, retry.NoRetry{})
			if _, _, err := r.do(t, c.method, "/shop/x", c.body); err != nil {
				t.Fatal(err)
			}
			resp, body, err := r.do(t, c.method, "/shop/x", c.body, HeaderIdempotencyKey, "once")
			if err != nil {
				t.Fatal(err)
			}
			if got := requests.Load(); got != 2 {
				t.Fatalf("server read %d requests, want 2", got)
			}
			if resp.Header.Get(HeaderOutcome) != string(fault.Unknown) {
				t.Fatalf("outcome %q, want unknown: %s", resp.Header.Get(HeaderOutcome), body)
			}
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	r := newTestRouter(t, address, retry.NoRetry{})
	resp, body, err := r.do(t, http.MethodPost, "/shop/x", "b")
	if err != nil {
		t.Fatal(err)
	}
	if resp.Header.Get(HeaderOutcome) != string(fault.NotRun) || !strings.Contains(body, string(fault.ConnectFailed)) {
		t.Fatalf("got outcome %q, want not-run with kind connect_failed: %s", resp.Header.Get(HeaderOutcome), body)
	}
}

func TestLeaseExpiredBeforeFirstByteIsNotRun(t *testing.T) {
	address, requests := rawServer(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
		answerOK(conn, "ran")
		return true
	})
	r := newTestRouter(t, address, retry.NoRetry{})
	r.resolver.rejectConfirm.Store(true)
	resp, body, err := r.do(t, http.MethodPost, "/shop/x", "b")
	if err != nil {
		t.Fatal(err)
	}
	if requests.Load() != 0 || resp.Header.Get(HeaderOutcome) != string(fault.NotRun) {
		t.Fatalf("server read %d requests with outcome %q, want 0 with not-run: %s", requests.Load(), resp.Header.Get(HeaderOutcome), body)
	}
	if r.resolver.staleReports.Load() == 0 {
		t.Fatal("MarkStale was not called for the refused target")
	}
}

func TestTimeoutAfterSendIsUnknown(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address, _ := rawServer(t, func(net.Conn, *http.Request, int64) bool {
		<-release
		return false
	})
	r := newTestRouter(t, address, retry.NoRetry{})
	resp, body, err := r.do(t, http.MethodGet, "/shop/x", "", HeaderTimeout, "50")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusGatewayTimeout || resp.Header.Get(HeaderOutcome) != string(fault.Unknown) {
		t.Fatalf("got status %d with outcome %q, want 504 with unknown: %s", resp.StatusCode, resp.Header.Get(HeaderOutcome), body)
	}
}

func TestUnknownAttemptOverridesLaterNotRun(t *testing.T) {
	address, _ := rawServer(t, func(conn net.Conn, _ *http.Request, number int64) bool {
		if number == 1 {
			return false // the request was read, so it may have run
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
			backend.HeaderNotStarted, backend.NotStartedShed)
		return true
	})
	r := newTestRouter(t, address, retry.Fixed{Attempts: 2})
	resp, body, err := r.do(t, http.MethodGet, "/shop/x", "")
	if err != nil {
		t.Fatal(err)
	}
	if resp.Header.Get(HeaderOutcome) != string(fault.Unknown) {
		t.Fatalf("outcome %q, want unknown: %s", resp.Header.Get(HeaderOutcome), body)
	}
}

func TestTruncatedAnswerNeverLooksComplete(t *testing.T) {
	long := strings.Repeat("x", 2*maxBufferedAnswerBytes)
	cases := []struct{ name, head string }{
		{"short, stated length", "Content-Length: 100\r\n\r\nabc"},
		{"long, stated length", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 4*maxBufferedAnswerBytes, long)},
		{"chunked", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
		{"neither length nor chunked", "\r\nabc"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, _ := rawServer(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.head)
				return false
			})
			r := newTestRouter(t, address, retry.NoRetry{})
			resp, _, err := r.do(t, http.MethodGet, "/shop/x", "")
			if err == nil && resp.Header.Get(HeaderOutcome) != string(fault.Unknown) {
				t.Fatalf("got status %d that looks like a complete answer, want an error or outcome unknown", resp.StatusCode)
			}
		})
	}
}

func TestBodyOverLimitIsRefused(t *testing.T) {
	address, _ := rawServer(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
		answerOK(conn, "ran")
		return true
	})
	r := newTestRouter(t, address, retry.NoRetry{})
	over := strings.Repeat("b", 300<<10)
	resp, _, err := r.do(t, http.MethodPost, "/shop/x", over)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusRequestEntityTooLarge || resp.Header.Get(HeaderOutcome) != string(fault.NotRun) {
		t.Fatalf("with Content-Length: got status %d with outcome %q, want 413 with not-run", resp.StatusCode, resp.Header.Get(HeaderOutcome))
	}
	req, _ := http.NewRequest(http.MethodPost, r.URL+"/shop/x", io.MultiReader(strings.NewReader(over)))
	req.Header.Set(HeaderKey, "k")
	chunked, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = chunked.Body.Close() }()
	if chunked.StatusCode != http.StatusRequestEntityTooLarge || chunked.Header.Get(HeaderOutcome) != string(fault.Unknown) {
		t.Fatalf("chunked: got status %d with outcome %q, want 413 with unknown", chunked.StatusCode, chunked.Header.Get(HeaderOutcome))
	}
}

func TestInternalHeadersAreNotForwarded(t *testing.T) {
	var seen http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-End", "2")
		w.Header().Set(HeaderOutcome, "not-run")
	}))
	t.Cleanup(server.Close)
	r := newTestRouter(t, strings.TrimPrefix(server.URL, "http://"), retry.NoRetry{})
	resp, _, err := r.do(t, http.MethodGet, "/shop/x", "", backend.HeaderToken, "9.9", "X-Caller", "yes", "Te", "trailers")
	if err != nil {
		t.Fatal(err)
	}
	if seen.Get(backend.HeaderToken) != "1.2" || seen.Get("X-Caller") != "yes" || seen.Get("Te") != "" {
		t.Errorf("server got headers %v, want token 1.2, X-Caller and no Te", seen)
	}
	if resp.Header.Get("X-Hop") != "" || resp.Header.Get("X-End") != "2" || resp.Header.Get(HeaderOutcome) != "" {
		t.Errorf("caller got headers %v, want X-End and neither X-Hop nor an outcome", resp.Header)
	}
}

func TestEmptyBodyIsNotSentAsChunked(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var encodings []string
		address, _ := rawServer(t, func(conn net.Conn, req *http.Request, _ int64) bool {
			encodings = req.TransferEncoding
			answerOK(conn, "ran")
			return true
		})
		r := newTestRouter(t, address, retry.NoRetry{})
		resp, body, err := r.do(t, method, "/shop/x", "")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%s: got response %v, error %v, want status 200: %s", method, resp, err, body)
		}
		if len(encodings) > 0 {
			t.Errorf("%s: server got transfer encoding %v, want none", method, encodings)
		}
	}
}

// Guards against an answer that says the server failed passing for a good run of a request that
// crashes other servers.
func TestFailedRunIsNotReportedToQuarantine(t *testing.T) {
	status := atomic.Int64{}
	address, _ := rawServer(t, func(conn net.Conn, _ *http.Request, _ int64) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\nContent-Length: 0\r\n\r\n", status.Load())
		return true
	})
	router := newTestRouter(t, address, retry.Fixed{Attempts: 1})
	for _, c := range []struct{ status, ran int64 }{{500, 0}, {504, 0}, {200, 1}, {404, 2}} {
		status.Store(c.status)
		if _, _, err := router.do(t, http.MethodGet, "/shop/x", ""); err != nil {
			t.Fatal(err)
		}
		if got := router.quarantine.ran.Load(); got != c.ran {
			t.Errorf("after status %d: got %d runs, want %d", c.status, got, c.ran)
		}
	}
}
