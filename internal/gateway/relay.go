package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"kumquatcleat/internal/dispatch"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/membudget"
	"kumquatcleat/internal/serverconn"
)

// pathRelay accepts a caller's request from a VM that reaches no server, with the caller's
// headers and body and the headers below, and responds with the answer to it.
const pathRelay = "/peer/relay"

// Headers between VMs. Those of the same names from callers and servers are not passed on.
const (
	relayMethod  = "Kumquatcleat-Relay-Method"
	relayTarget  = "Kumquatcleat-Relay-Target"
	relayPath    = "Kumquatcleat-Relay-Path"
	relayHost    = "Kumquatcleat-Relay-Host"
	relayID      = "Kumquatcleat-Relay-Id"
	relayKey     = "Kumquatcleat-Relay-Key"
	relayTimeout = "Kumquatcleat-Relay-Timeout-Us"
	relayVersion = "Kumquatcleat-Relay-Config-Version"

	relayOutcome    = "Kumquatcleat-Relay-Outcome" // one of the outcomes below
	relayRefusal    = "Kumquatcleat-Relay-Refusal" // kind of the refusal
	relayStatus     = "Kumquatcleat-Relay-Status"  // status of the refusal
	relayMessage    = "Kumquatcleat-Relay-Message"
	relayRetryAfter = "Kumquatcleat-Relay-Retry-After-Us"
	relayLength     = "Kumquatcleat-Relay-Content-Length" // that a server stated
)

var relayHeaders = []string{relayMethod, relayTarget, relayPath, relayHost, relayID, relayKey, relayTimeout, relayVersion,
	relayOutcome, relayRefusal, relayStatus, relayMessage, relayRetryAfter, relayLength}

// Outcomes of a relayed request.
const (
	relayAnswered = "answered" // the response is that of a server
	relayRefused  = "refused"  // the other VM refused the request
	relayUnable   = "unable"   // the other VM did nothing, as it can't serve requests now
)

const (
	relayDialTimeout = 200 * time.Millisecond
	// maxRelays is how many VMs are tried if some can't take the request, maxLocalRelays how
	// many of them in this VM's failure domain, all VMs of which may be isolated.
	maxRelays      = 4
	maxLocalRelays = 2
	// relayPause is how long a VM that could not take a request gets no other one. It doubles
	// each time in a row, up to maxRelayDoublings times.
	relayPause        = time.Second
	maxRelayDoublings = 3
	// relayIdleConnections is how many idle connections to a VM are kept: about the
	// requests that a VM sends to each of a few others at one time.
	relayIdleConnections = 32
)

// relays sends callers' requests through other VMs while this one reaches no server, and
// serves those of other VMs.
type relays struct {
	peers     *peers
	client    *http.Client
	serve     func(context.Context, *dispatch.Request) *dispatch.Answer
	version   func() uint64 // of the configuration in force; 0: none
	ready     func() bool   // this VM takes requests of others
	bodies    *membudget.Budget
	answers   *membudget.Budget
	maxAnswer int64
	receiving atomic.Int64 // requests of other VMs that are not answered yet

	mu       sync.Mutex          // guards the fields below
	unable   map[string]unableVM // by address
	inFlight map[string]int      // by address
}

func newRelays(p *peers, bodies, answers *membudget.Budget, maxAnswer int64) *relays {
	client := newPeerClient(p.settings.IP, relayDialTimeout, relayIdleConnections)
	return &relays{peers: p, client: client, bodies: bodies, answers: answers, maxAnswer: maxAnswer, unable: map[string]unableVM{}, inFlight: map[string]int{}}
}

// unableVM is a VM that could not take the last request.
type unableVM struct {
	until  time.Time // it gets no request before
	inARow int       // requests that it could not take
}

var (
	errNoRelay     = errors.New("this VM reaches no server, and no other VM takes the request")
	errRelayUnable = errors.New("the VM can't serve the request")
)

// Send implements dispatch.Relay.
func (s *relays) Send(ctx context.Context, r *dispatch.Request, deadline time.Time, configVersion uint64) dispatch.RelayResult {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	result := dispatch.RelayResult{Err: errNoRelay}
	for try := range maxRelays {
		to, ok := s.pick(time.Now(), try < maxLocalRelays)
		if !ok || ctx.Err() != nil {
			return result
		}
		answer, sent, err := s.sendTo(ctx, to, r, deadline, configVersion)
		if ctx.Err() == nil {
			s.recordAbility(to, err == nil || sent)
		}
		s.done(to)
		result = dispatch.RelayResult{Answer: answer, VM: to.name, Sent: sent, Err: err}
		if err == nil || sent {
			return result
		}
	}
	return result
}

// pick returns the VM to send a request through: of two at random the one with fewer requests
// of this VM. It is in this VM's failure domain if one there takes requests, unless another domain
// is preferred.
func (s *relays) pick(now time.Time, preferLocal bool) (peer, bool) {
	first, second := s.peers.byDomain(now)
	if !preferLocal {
		first, second = second, first
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range [][]peer{first, second} {
		list = slices.DeleteFunc(list, func(v peer) bool { return now.Before(s.unable[v.address].until) })
		if len(list) == 0 {
			continue
		}
		a, b := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
		if s.inFlight[b.address] < s.inFlight[a.address] {
			a = b
		}
		s.inFlight[a.address]++
		return a, true
	}
	return peer{}, false
}

// recordAbility records whether a VM took a request.
func (s *relays) recordAbility(v peer, able bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if able {
		delete(s.unable, v.address)
		return
	}
	u := s.unable[v.address]
	u.until = time.Now().Add(relayPause << min(u.inARow, maxRelayDoublings))
	u.inARow++
	s.unable[v.address] = u
}

// done records the end of a request through a VM.
func (s *relays) done(v peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[v.address]--; s.inFlight[v.address] <= 0 {
		delete(s.inFlight, v.address)
	}
}

// sendTo sends a request through one VM. sent reports whether the request may have run if
// there is no answer.
func (s *relays) sendTo(ctx context.Context, to peer, r *dispatch.Request, deadline time.Time, configVersion uint64) (answer *dispatch.Answer, sent bool, err error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }})
	// The type hides the body from net/http, which must not send it twice on its own.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.address+pathRelay, struct{ io.Reader }{bytes.NewReader(r.Body)})
	if err != nil {
		return nil, false, fmt.Errorf("relay: create request: %w", err)
	}
	req.ContentLength = int64(len(r.Body))
	req.Header = withoutRelayHeaders(r.Header)
	for name, value := range map[string]string{
		relayMethod: r.Method, relayTarget: r.Target, relayPath: r.Path, relayHost: r.Host, relayID: r.ID,
		relayTimeout: strconv.FormatInt(time.Until(deadline).Microseconds(), 10), relayVersion: strconv.FormatUint(configVersion, 10),
	} {
		req.Header.Set(name, value)
	}
	if req.Header.Get("User-Agent") == "" {
		req.Header["User-Agent"] = nil // net/http adds none
	}
	if r.HasKey {
		req.Header.Set(relayKey, strconv.FormatUint(uint64(r.Key), 10))
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, sent, fmt.Errorf("relay: send request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := membudget.ReadAll(resp.Body, resp.ContentLength, s.maxAnswer, r.AnswerMemory)
	if err != nil {
		return nil, true, fmt.Errorf("relay: read answer: %w", err)
	}
	return readRelayed(resp, body)
}

// readRelayed returns the answer that another VM's response holds.
func readRelayed(resp *http.Response, body []byte) (answer *dispatch.Answer, sent bool, err error) {
	switch outcome := resp.Header.Get(relayOutcome); {
	case outcome == relayAnswered:
		header := withoutRelayHeaders(resp.Header)
		if length := resp.Header.Get(relayLength); length != "" {
			header.Set("Content-Length", length)
		}
		return &dispatch.Answer{Status: resp.StatusCode, Header: header, Body: body}, true, nil
	case outcome == relayRefused:
		status, statusErr := strconv.Atoi(resp.Header.Get(relayStatus))
		after, afterErr := strconv.ParseInt(resp.Header.Get(relayRetryAfter), 10, 64)
		kind := fault.Kind(resp.Header.Get(relayRefusal))
		if statusErr != nil || afterErr != nil || status < 400 || status > 599 || !slices.Contains(fault.Kinds(), kind) {
			return nil, true, fmt.Errorf("relay: refusal %q with status %q not understood", kind, resp.Header.Get(relayStatus))
		}
		return &dispatch.Answer{Status: status, Refusal: kind, Message: resp.Header.Get(relayMessage), RetryAfter: time.Duration(after) * time.Microsecond}, true, nil
	case outcome == relayUnable, outcome == "" && resp.StatusCode == http.StatusNotFound: // a VM of an earlier version
		return nil, false, errRelayUnable
	default:
		return nil, true, fmt.Errorf("relay: unexpected status %d, outcome %q", resp.StatusCode, outcome)
	}
}

func withoutRelayHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, name := range relayHeaders {
		out.Del(name)
	}
	return out
}

// receive serves a request of a caller of another VM.
func (s *relays) receive(w http.ResponseWriter, r *http.Request) {
	s.receiving.Add(1)
	defer s.receiving.Add(-1)
	// Otherwise net/http sends the answer after this function returns, when the process
	// may have ended.
	defer func() { _ = http.NewResponseController(w).Flush() }()
	version, err := strconv.ParseUint(r.Header.Get(relayVersion), 10, 64)
	timeout, timeoutErr := strconv.ParseInt(r.Header.Get(relayTimeout), 10, 64)
	if err != nil || timeoutErr != nil {
		slog.Warn("relay: request not understood", "from", r.RemoteAddr, "version", r.Header.Get(relayVersion), "timeout_us", r.Header.Get(relayTimeout))
		http.Error(w, "version or timeout missing", http.StatusBadRequest)
		return
	}
	if !s.ready() || s.version() < version {
		respondUnable(w)
		return
	}
	memory := s.bodies.Open()
	defer memory.Release()
	body, err := membudget.ReadAll(r.Body, r.ContentLength, maxCallerBodyBytes, memory)
	if err != nil {
		slog.Info("relay: body not read", "from", r.RemoteAddr, "request", r.Header.Get(relayID), "error", err.Error())
		respondUnable(w)
		return
	}
	if !s.ready() { // the VM has begun to stop while the body arrived
		respondUnable(w)
		return
	}
	answerMemory := s.answers.Open()
	defer answerMemory.Release()
	request := &dispatch.Request{
		ID: r.Header.Get(relayID), Method: r.Header.Get(relayMethod), Target: r.Header.Get(relayTarget), Path: r.Header.Get(relayPath),
		Host: r.Header.Get(relayHost), Header: serverconn.EndToEndHeaders(withoutRelayHeaders(r.Header)), Body: body,
		Arrived: time.Now(), Timeout: max(time.Duration(timeout)*time.Microsecond, time.Microsecond), AnswerMemory: answerMemory, Relayed: true,
	}
	if key, err := strconv.ParseUint(r.Header.Get(relayKey), 10, 32); err == nil {
		request.Key, request.HasKey = uint32(key), true
	}
	s.respond(w, s.serve(r.Context(), request))
}

// respondUnable responds that this VM did nothing with the request, so that another VM may take it.
func respondUnable(w http.ResponseWriter) {
	w.Header().Set(relayOutcome, relayUnable)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// respond writes the answer to a relayed request.
func (s *relays) respond(w http.ResponseWriter, answer *dispatch.Answer) {
	header := w.Header()
	if answer.Abandoned {
		return // the other VM has closed the connection
	}
	if answer.Refusal == fault.Isolated || answer.Refusal == fault.Stopping {
		respondUnable(w)
		return
	}
	if answer.Refusal != "" {
		header.Set(relayOutcome, relayRefused)
		header.Set(relayStatus, strconv.Itoa(answer.Status))
		header.Set(relayRefusal, string(answer.Refusal))
		header.Set(relayMessage, answer.Message)
		header.Set(relayRetryAfter, strconv.FormatInt(answer.RetryAfter.Microseconds(), 10))
		header.Set("Content-Length", "0")
		return
	}
	for name, values := range withoutRelayHeaders(serverconn.EndToEndHeaders(answer.Header)) {
		header[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if header.Get(name) == "" {
			header[name] = nil // net/http adds none
		}
	}
	header.Set(relayOutcome, relayAnswered)
	header.Set(relayLength, answer.Header.Get("Content-Length"))
	if answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		// With chunks, the response would be complete only when the handler returns.
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	if _, err := w.Write(answer.Body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		slog.Debug("relay: answer not sent", "error", err.Error())
	}
}
