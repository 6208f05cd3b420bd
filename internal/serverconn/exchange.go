package serverconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"kumquatcleat/internal/dialect"
	"kumquatcleat/internal/membudget"
	"kumquatcleat/internal/registry"
)

// Request is one attempt to run a request at a server.
type Request struct {
	ID         string
	Method     string
	Target     string // path and query as the caller sent them
	Host       string
	Header     http.Header // end-to-end headers of the caller
	Body       []byte
	Deadline   time.Time // when the caller times out
	Server     *registry.Server
	Idempotent bool // may be executed more than once
	// Repeat says that the server has received this request before. It gets a connection
	// of its own: on a reused one, a late copy of the earlier answer would have the ID of
	// this request.
	Repeat bool
	// Guard is called right before the first byte is sent; an error prevents the send.
	Guard func() error
	// Memory is the reservation for the body of the answer; nil: not counted. It is
	// released by whoever holds the request, after the last use of the answer.
	Memory *membudget.Reservation
	// Whole says that an answer that does not fit into memory is a failure.
	Whole bool
}

// Response is a server's answer.
type Response struct {
	Status     int
	Header     http.Header
	Body       []byte
	Stream     *Stream // the body if it does not fit into memory, otherwise nil
	NotStarted bool    // the server states that it did not start the request
	ServerID   string
	Load       dialect.Load
	HasLoad    bool
	// RateLimit is the rate of requests, per second, that the server takes from all VMs
	// together.
	RateLimit    float64
	HasRateLimit bool
	// Ignored holds why headers about the state of the server could not be read.
	Ignored []error
	// Warmup is how long the server says that it stays cold; 0: not stated.
	Warmup time.Duration
	// Leaving says that the server leaves.
	Leaving bool
	// Pause is how long a server that turned the request away wants no other one from this
	// VM; 0: not stated.
	Pause time.Duration
}

// Progress is how far a failed attempt got.
type Progress int

const (
	// NotSent means that no byte of the request was sent or will be.
	NotSent Progress = iota
	// Sent means that the server may have executed the request.
	Sent
)

// Failure describes an attempt without a usable answer.
type Failure struct {
	Progress Progress
	Refused  bool // the server's address refused the connection
	Reset    bool // the server closed or reset the connection
	// Unanswered says that the request was sent and neither answered nor broken off when the caller
	// left or the deadline passed.
	Unanswered bool
	Err        error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

const (
	// maxIdleNonIdempotent is how long a connection may have been idle to carry a
	// request that must not be repeated. If the server closed the connection while the
	// request was in transit, the outcome would be unknown.
	maxIdleNonIdempotent = 2 * time.Second
)

// Sender sends requests to servers, one attempt per call.
type Sender struct {
	pool         *Pool
	dialect      *dialect.Dialect
	maxBodyBytes int64 // bounds the body of an answer that is buffered
}

// NewSender returns a sender that uses the connections of pool and buffers answers whose
// body has at most maxBodyBytes.
func NewSender(pool *Pool, d *dialect.Dialect, maxBodyBytes int64) *Sender {
	return &Sender{pool: pool, dialect: d, maxBodyBytes: maxBodyBytes}
}

// Do sends a request once and reads the answer, up to the body if that is streamed. ctx is done
// when the caller disconnects; a streamed body ends then, too.
func (s *Sender) Do(ctx context.Context, r *Request) (*Response, *Failure) {
	maxIdle := maxIdleNonIdempotent
	if r.Idempotent {
		maxIdle = time.Hour // only the connection's idle timeout applies
	}
	if r.Repeat {
		maxIdle = -1
	}
	dialCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	c, err := s.pool.get(dialCtx, r.Server, maxIdle)
	cancel()
	if err != nil {
		return nil, &Failure{Progress: NotSent, Refused: Refused(err), Err: fmt.Errorf("connect to server %s: %w", r.Server.ID, err)}
	}
	if r.Guard != nil {
		if err := r.Guard(); err != nil {
			s.pool.put(r.Server, c)
			return nil, &Failure{Progress: NotSent, Err: err}
		}
	}
	return s.exchange(ctx, c, r)
}

func (s *Sender) exchange(ctx context.Context, c *conn, r *Request) (*Response, *Failure) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	_ = c.SetDeadline(r.Deadline)
	response, reuse, err := s.roundTrip(c, r)
	if !stop() || err != nil {
		c.reset()
		reuse = false
	}
	if err != nil {
		return nil, s.failure(ctx, r, err)
	}
	if response.Stream != nil {
		response.Stream.start(ctx, reuse)
		return response, nil
	}
	if reuse {
		s.pool.put(r.Server, c)
	} else {
		_ = c.Close()
	}
	return response, nil
}

// errInvalidAnswer marks input that is not an answer to the request.
var errInvalidAnswer = errors.New("invalid answer to this request")

// failure describes a request that was sent without receiving a usable answer. Its
// message is part of the answer to the caller.
func (s *Sender) failure(ctx context.Context, r *Request, err error) *Failure {
	f := &Failure{Progress: Sent, Err: fmt.Errorf("server %s: %w", r.Server.ID, err)}
	var timeout interface{ Timeout() bool }
	switch {
	case ctx.Err() != nil:
		f.Err, f.Unanswered = fmt.Errorf("server %s: caller canceled: %w", r.Server.ID, ctx.Err()), true
	case errors.Is(err, errInvalidAnswer), errors.Is(err, membudget.ErrExhausted):
	case errors.As(err, &timeout) && timeout.Timeout():
		f.Unanswered = true
	default:
		f.Reset = true
	}
	return f
}

func (s *Sender) roundTrip(c *conn, r *Request) (*Response, bool, error) {
	if _, err := c.Write(s.encode(r)); err != nil {
		return nil, false, err
	}
	for skipped := range maxSkippedAnswers + 1 {
		response, reuse, err := s.read(c, r)
		if !errors.Is(err, errOtherRequestID) {
			return response, reuse && skipped == 0, err
		}
		// A late answer to an earlier request; this request's answer may follow.
	}
	return nil, false, fmt.Errorf("%w: more than %d answers to other requests", errInvalidAnswer, maxSkippedAnswers)
}

// connectionHeaders are hop-by-hop headers, and headers that each hop sets itself.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Content-Length": true, "Host": true,
}

// EndToEndHeaders returns the headers to forward: all but the hop-by-hop ones.
func EndToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !connectionHeaders[name] {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

func (s *Sender) encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		if name == s.dialect.RequestID || name == s.dialect.Deadline || name == s.dialect.TargetServer {
			continue
		}
		for _, value := range values {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	if r.ID != "" {
		b.WriteString(s.dialect.RequestID + ": " + r.ID + "\r\n")
	}
	b.WriteString(s.dialect.Deadline + ": " + s.dialect.FormatDeadline(time.Until(r.Deadline)) + "\r\n")
	b.WriteString(s.dialect.TargetServer + ": " + r.Server.ID + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

var errOtherRequestID = errors.New("answer has the ID of another request")

// read reads one answer. The second result reports whether the connection is reusable.
func (s *Sender) read(c *conn, r *Request) (*Response, bool, error) {
	resp, err := c.readFinal(r.Method)
	if err != nil {
		return nil, false, err
	}
	notStarted := resp.Header.Get(s.dialect.NotStarted) != "" || resp.StatusCode == http.StatusMisdirectedRequest
	switch id := resp.Header.Get(s.dialect.RequestID); {
	case id == r.ID:
	case id != "":
		if err := discard(resp.Body); err != nil {
			return nil, false, fmt.Errorf("body of an answer to request %q: %w", id, err)
		}
		return nil, false, errOtherRequestID
	case !notStarted || !c.neverPooled:
		return nil, false, fmt.Errorf("answer with status %d has no request ID: %w", resp.StatusCode, errInvalidAnswer)
	}
	if resp.StatusCode/100 == 2 && (resp.Header.Get(s.dialect.Signature) == "" || resp.Header.Get("Content-Encoding") != "") {
		return nil, false, fmt.Errorf("answer with status %d is unsigned or has a content encoding: %w", resp.StatusCode, errInvalidAnswer)
	}
	body, stream, err := s.readBody(c, resp, r, notStarted)
	if err != nil {
		return nil, false, err
	}
	out := &Response{
		Status:     resp.StatusCode,
		Header:     resp.Header,
		Body:       body,
		Stream:     stream,
		NotStarted: notStarted,
		ServerID:   resp.Header.Get(s.dialect.ServerID),
	}
	s.readLoad(resp.Header, out)
	s.readRateLimit(resp.Header, out)
	s.readWarmup(resp.Header, out)
	out.Leaving = s.dialect.Leaving != "" && resp.Header.Get(s.dialect.Leaving) == "1"
	if resp.StatusCode == http.StatusServiceUnavailable {
		out.Pause = pause(resp.Header.Get("Retry-After"), r.Server.ID)
	}
	c.idleTimeout = idleTimeout(resp.Header)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return out, framed && !resp.Close, nil
}

// readBody reads the whole body of an answer. If the body does not fit into memory, readBody returns
// a stream of it, or fails if it is needed whole.
func (s *Sender) readBody(c *conn, resp *http.Response, r *Request, whole bool) ([]byte, *Stream, error) {
	if resp.Body == http.NoBody { // the answer to HEAD states the length of a body that it does not have
		return nil, nil, nil
	}
	var parts [][]byte
	var err error
	if resp.ContentLength > s.maxBodyBytes {
		err = fmt.Errorf("%w: the answer has %d bytes, the limit is %d", membudget.ErrTooLarge, resp.ContentLength, s.maxBodyBytes)
	} else {
		var body []byte
		body, parts, err = membudget.ReadParts(resp.Body, resp.ContentLength, s.maxBodyBytes, r.Memory)
		if err == nil {
			return body, nil, nil
		}
	}
	tooLarge, exhausted := errors.Is(err, membudget.ErrTooLarge), errors.Is(err, membudget.ErrExhausted)
	switch {
	case (tooLarge || exhausted) && !whole && !r.Whole:
		return nil, newStream(s, c, resp, r, parts), nil
	case exhausted:
		return nil, nil, fmt.Errorf("read answer body: %w", err)
	}
	return nil, nil, fmt.Errorf("read answer body: %w", readError(err))
}

func (s *Sender) readLoad(h http.Header, out *Response) {
	text := h.Get(s.dialect.ServerLoad)
	if text == "" {
		return
	}
	load, err := s.dialect.ParseLoad(text)
	if err != nil {
		out.Ignored = append(out.Ignored, err)
		return
	}
	out.Load, out.HasLoad = load, true
}

func (s *Sender) readRateLimit(h http.Header, out *Response) {
	text := h.Get(s.dialect.RateLimit)
	if text == "" {
		return
	}
	rate, err := s.dialect.ParseRateLimit(text)
	if err != nil {
		slog.Debug("serverconn: rate limit ignored", "server", out.ServerID, "error", err.Error())
		return
	}
	out.RateLimit, out.HasRateLimit = rate, true
}

func (s *Sender) readWarmup(h http.Header, out *Response) {
	text := h.Get(s.dialect.Warmup)
	if s.dialect.Warmup == "" || text == "" {
		return
	}
	ms, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(ms >= 0 && ms <= maxPauseSeconds*1000) {
		out.Ignored = append(out.Ignored, fmt.Errorf("warm-up %q: want milliseconds", text))
		return
	}
	out.Warmup = time.Duration(ms * float64(time.Millisecond))
}

// maxPauseSeconds bounds a pause, so that adding to it can't overflow.
const maxPauseSeconds = 24 * 60 * 60

// pause parses a number of seconds, which may have a fraction. Anything else states no pause.
func pause(text, server string) time.Duration {
	if text == "" {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) {
		slog.Debug("serverconn: pause ignored", "server", server, "retry_after", text)
		return 0
	}
	return time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second))
}

// idleTimeout returns how long the server keeps an idle connection open.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return defaultIdleTimeout
}
