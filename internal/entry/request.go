package entry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"kumquatcleat/internal/dispatch"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/membudget"
	"kumquatcleat/internal/routetable"
	"kumquatcleat/internal/serverconn"
)

// readRequest reads one request with its body. Both results are nil when the
// connection was closed. An answer refuses the request and closes the connection.
func (c *callerConn) readRequest(memory *membudget.Reservation) (*dispatch.Request, *dispatch.Answer) {
	arrived := time.Now()
	limits := c.limits()
	head, err := c.peekHead(limits.HeaderBytes)
	switch {
	case errors.Is(err, errHeadTooLarge):
		return nil, refuseWithStatus(http.StatusRequestHeaderFieldsTooLarge, fault.BadRequest, "the request head exceeds %d bytes", limits.HeaderBytes)
	case isTimeout(err):
		return nil, c.refuseIncomplete("the request head", limits.HeaderTimeout)
	case err != nil:
		return nil, nil
	}
	if err := checkHead(head); err != nil {
		return nil, dispatch.Refuse(fault.BadRequest, "%v", err)
	}
	parsed, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, dispatch.Refuse(fault.BadRequest, "parse request head: %v", err)
	}
	request, refusal := c.translate(parsed, arrived)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := c.readBody(parsed, request, limits, memory); refusal != nil {
		if refusal.Abandoned {
			return nil, nil
		}
		return nil, refusal
	}
	return request, nil
}

// peekHead returns a request's head without consuming it.
func (c *callerConn) peekHead(limit int) ([]byte, error) {
	for seen := 0; ; {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if end := bytes.Index(buffered[max(0, seen-len(headTerminator)):], headTerminator); end >= 0 {
			length := max(0, seen-len(headTerminator)) + end + len(headTerminator)
			if length > limit {
				return nil, errHeadTooLarge
			}
			return buffered[:length], nil
		}
		seen = len(buffered)
		if seen >= limit {
			return nil, errHeadTooLarge
		}
		if seen == c.reader.Size() {
			c.growReader(limit + len(headTerminator))
			continue
		}
		if _, err := c.reader.Peek(seen + 1); err != nil {
			return nil, err
		}
	}
}

// growReader replaces the reader by one whose buffer has at least the given size.
func (c *callerConn) growReader(size int) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	kept := bytes.Clone(buffered)
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(kept), c.Conn), max(size, 2*len(kept)))
	_, _ = c.reader.Peek(len(kept)) // reads from memory, can't fail
}

// translate converts a parsed head to a dispatch.Request, or refuses it if a header
// has an invalid value.
func (c *callerConn) translate(parsed *http.Request, arrived time.Time) (*dispatch.Request, *dispatch.Answer) {
	d := c.server.dialect
	path, _, _ := strings.Cut(parsed.RequestURI, "?")
	request := &dispatch.Request{
		ID:      parsed.Header.Get(d.RequestID),
		Method:  parsed.Method,
		Target:  parsed.RequestURI,
		Path:    path,
		Host:    parsed.Host,
		Header:  serverconn.EndToEndHeaders(parsed.Header),
		Arrived: arrived,
	}
	if text := parsed.Header.Get(d.Deadline); text != "" {
		timeout, err := d.ParseDeadline(text)
		if err != nil {
			return nil, dispatch.Refuse(fault.BadRequest, "header %s: %v", d.Deadline, err)
		}
		request.Timeout = timeout
	}
	if text := parsed.Header.Get(d.Key); text != "" {
		key, err := d.ParseKey(text)
		if err != nil {
			return nil, dispatch.Refuse(fault.BadRequest, "header %s: %v", d.Key, err)
		}
		request.Key, request.HasKey = key, true
	}
	return request, nil
}

// readBody reads the whole body, within the configured limit and MaxBodyBytes. It
// returns a refusal, or an abandoned answer if the connection breaks.
func (c *callerConn) readBody(parsed *http.Request, request *dispatch.Request, limits routetable.Limits, memory *membudget.Reservation) *dispatch.Answer {
	if parsed.ContentLength == 0 {
		return nil
	}
	if parsed.ContentLength > limits.BodyBytes {
		return dispatch.Refuse(fault.BodyTooLarge, "the body of %d bytes exceeds the limit of %d", parsed.ContentLength, limits.BodyBytes)
	}
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") && c.unanswered.Load() == 0 {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return &dispatch.Answer{Abandoned: true}
		}
	}
	limit := min(limits.BodyBytes, c.server.settings.MaxBodyBytes)
	c.setRequestDeadline(c.server.settings.BodyTimeout)
	body, err := membudget.ReadAll(parsed.Body, parsed.ContentLength, limit, memory)
	var netErr *net.OpError
	switch {
	case isTimeout(err):
		return c.refuseIncomplete("the body", c.server.settings.BodyTimeout)
	case errors.As(err, &netErr) || errors.Is(err, io.ErrUnexpectedEOF):
		return &dispatch.Answer{Abandoned: true}
	case errors.Is(err, membudget.ErrTooLarge):
		return dispatch.Refuse(fault.BodyTooLarge, "the body exceeds %d bytes", limit)
	case errors.Is(err, membudget.ErrExhausted):
		refusal := dispatch.Refuse(fault.Overloaded, "read body: %v", err)
		refusal.RetryAfter = bodyMemoryRetryAfter
		return refusal
	case err != nil:
		return dispatch.Refuse(fault.BadRequest, "read body: %v", err)
	}
	request.Body = body
	return nil
}

// refuseIncomplete refuses a request of which a part has not arrived in time.
func (c *callerConn) refuseIncomplete(part string, timeout time.Duration) *dispatch.Answer {
	if c.server.closing.Load() && !time.Now().Before(c.server.readUntil) {
		return dispatch.Refuse(fault.Stopping, "%s was incomplete when this VM stopped", part)
	}
	return refuseWithStatus(http.StatusRequestTimeout, fault.BadRequest, "%s was incomplete after %v", part, timeout)
}

// bodyMemoryRetryAfter is the Retry-After hint while the bodies of other requests occupy
// the memory for bodies. They are answered or time out within seconds.
const bodyMemoryRetryAfter = 500 * time.Millisecond

// refuseWithStatus builds a refusal with another status than that of its kind.
func refuseWithStatus(status int, kind fault.Kind, format string, args ...any) *dispatch.Answer {
	a := dispatch.Refuse(kind, format, args...)
	a.Status = status
	return a
}
