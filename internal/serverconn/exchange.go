package serverconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"kumquatcleat/internal/dialect"
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
	// Guard is called right before the first byte is sent; an error prevents the send.
	Guard func() error
}

// Response is a server's complete answer.
type Response struct {
	Status     int
	Header     http.Header
	Body       []byte
	NotStarted bool // the server states that it did not start the request
	ServerID   string
	Load       dialect.Load
	HasLoad    bool
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
	Err      error
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
	// maxAnswerBytes bounds an answer, which is buffered completely.
	maxAnswerBytes = 32 << 20
)

// Sender sends requests to servers, one attempt per call.
type Sender struct {
	pool    *Pool
	dialect *dialect.Dialect
}

// NewSender returns a sender that uses the connections of pool.
func NewSender(pool *Pool, d *dialect.Dialect) *Sender { return &Sender{pool: pool, dialect: d} }

// Do sends a request once and reads the answer. ctx is done when the caller disconnects.
func (s *Sender) Do(ctx context.Context, r *Request) (*Response, *Failure) {
	maxIdle := maxIdleNonIdempotent
	if r.Idempotent {
		maxIdle = time.Hour // only the connection's idle timeout applies
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
		f.Err = fmt.Errorf("server %s: caller canceled: %w", r.Server.ID, ctx.Err())
	case errors.Is(err, errInvalidAnswer):
	case errors.As(err, &timeout) && timeout.Timeout():
	default:
		f.Reset = true
	}
	return f
}

func (s *Sender) roundTrip(c *conn, r *Request) (*Response, bool, error) {
	if _, err := c.Write(s.encode(r)); err != nil {
		return nil, false, err
	}
	stale := false
	for {
		response, reuse, err := s.read(c, r)
		if errors.Is(err, errOtherRequestID) {
			stale = true // a late answer to an earlier request; this request's answer may follow
			continue
		}
		return response, reuse && !stale, err
	}
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
	resp, err := readFinal(c.reader, r.Method)
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, false, fmt.Errorf("read answer body: %w", err)
	}
	if len(body) > maxAnswerBytes {
		return nil, false, fmt.Errorf("answer body exceeds %d bytes", maxAnswerBytes)
	}
	out := &Response{
		Status:     resp.StatusCode,
		Header:     resp.Header,
		Body:       body,
		NotStarted: resp.Header.Get(s.dialect.NotStarted) != "" || resp.StatusCode == http.StatusMisdirectedRequest,
		ServerID:   resp.Header.Get(s.dialect.ServerID),
	}
	id := resp.Header.Get(s.dialect.RequestID)
	if id != r.ID {
		if id != "" {
			return nil, false, errOtherRequestID
		}
		if !out.NotStarted || !c.neverPooled {
			return nil, false, fmt.Errorf("answer with status %d has no request ID: %w", resp.StatusCode, errInvalidAnswer)
		}
	}
	if resp.StatusCode/100 == 2 && (resp.Header.Get(s.dialect.Signature) == "" || resp.Header.Get("Content-Encoding") != "") {
		return nil, false, fmt.Errorf("answer with status %d is unsigned or has a content encoding: %w", resp.StatusCode, errInvalidAnswer)
	}
	s.readLoad(resp.Header, out)
	c.idleTimeout = idleTimeout(resp.Header)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return out, framed && !resp.Close, nil
}

// readFinal reads a final answer's head and skips interim answers.
func readFinal(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			var netError interface{ Timeout() bool }
			if errors.As(err, &netError) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return nil, err
			}
			return nil, fmt.Errorf("%w: %w", errInvalidAnswer, err)
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
}

func (s *Sender) readLoad(h http.Header, out *Response) {
	text := h.Get(s.dialect.ServerLoad)
	if text == "" {
		return
	}
	if load, err := s.dialect.ParseLoad(text); err == nil {
		out.Load, out.HasLoad = load, true
	}
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
