package entry

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"kumquatcleat/internal/dispatch"
	"kumquatcleat/internal/linger"
	"kumquatcleat/internal/serverconn"
)

// writeAnswers writes answers in the order of their requests. After a failed write,
// or after the last answer, it cancels the caller's requests that are still being
// served.
func (c *callerConn) writeAnswers(ctx context.Context, cancel func()) {
	stopped := false
	for p := range c.pending {
		if !stopped && !c.writeNext(ctx, p) {
			stopped = true
			cancel()
			c.stopReading()
		}
		p.release()
		close(p.written)
		if c.unanswered.Add(-1) == 0 && !stopped {
			c.setIdleDeadline()
		}
	}
}

// writeNext writes the answer of the oldest request and reports whether the
// connection stays open.
func (c *callerConn) writeNext(ctx context.Context, p *pendingAnswer) bool {
	var answer *dispatch.Answer
	select {
	case answer = <-p.answer:
	case <-ctx.Done():
		return false
	}
	if answer.Abandoned {
		return false
	}
	last := p.last || c.closeAfter(p)
	return c.write(p, answer, last) == nil && !last
}

// closeAfter decides whether the next answer is the connection's last. It is when the server
// shuts down and no later request was started. Those that only wait for their turn count as not
// read by the caller, as they came behind an answer that closes the connection.
func (c *callerConn) closeAfter(p *pendingAnswer) bool {
	if !c.server.closing.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started > p.number {
		return false
	}
	c.closing = true
	return true
}

// stopReading makes readRequests return.
func (c *callerConn) stopReading() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Now())
}

// write writes an answer. The last one announces that the connection closes.
func (c *callerConn) write(p *pendingAnswer, a *dispatch.Answer, last bool) error {
	var b bytes.Buffer
	b.Grow(256 + min(len(a.Body), maxCopiedBytes))
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.Status, http.StatusText(a.Status))
	body := a.Body
	if a.Refusal != "" {
		body = c.writeRefusalHead(&b, p, a)
	} else {
		for name, values := range serverconn.EndToEndHeaders(a.Header) {
			for _, value := range values {
				b.WriteString(name + ": " + value + "\r\n")
			}
		}
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	if a.Stream != nil {
		err := c.writeStream(p, &b, a.Stream)
		if err != nil {
			c.reportUndelivered(c.unacknowledged(), err)
		}
		return err
	}
	bodyless := a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	if !bodyless {
		length := strconv.Itoa(len(body))
		if p.request != nil && p.request.Method == http.MethodHead {
			if stated := a.Header.Get("Content-Length"); stated != "" {
				length = stated
			}
			body = nil
		}
		b.WriteString("Content-Length: " + length + "\r\n")
	}
	b.WriteString("\r\n")
	if len(body) <= maxCopiedBytes {
		b.Write(body)
		body = nil
	}
	c.delivery.begin(p.requestID(), b.Len()+len(body))
	err := c.writeAll(b.Bytes())
	if err == nil {
		err = c.writeAll(body)
	}
	if err != nil {
		c.reportUndelivered(c.unacknowledged(), err)
	}
	return err
}

// writeAll writes a part of an answer. Its caller has writeTimeout to take each writeChunk.
func (c *callerConn) writeAll(part []byte) error {
	for len(part) > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := c.Conn.Write(part[:min(len(part), writeChunk)])
		c.delivery.wrote(n)
		if err != nil {
			return err
		}
		part = part[n:]
	}
	return nil
}

// maxCopiedBytes is the size up to which a body is copied behind its head. A larger one
// would double the memory of the answer.
const maxCopiedBytes = 16 << 10

// writeRefusalHead writes the headers of a refusal and returns its body.
func (c *callerConn) writeRefusalHead(b *bytes.Buffer, p *pendingAnswer, a *dispatch.Answer) []byte {
	if p.request != nil && p.request.ID != "" {
		b.WriteString(c.server.dialect.RequestID + ": " + p.request.ID + "\r\n")
	}
	if a.RetryAfter > 0 {
		b.WriteString("Retry-After: " + strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64) + "\r\n")
	}
	b.WriteString("Content-Type: text/plain\r\n")
	return []byte(string(a.Refusal) + "\n")
}

// linger closes the connection once its caller has received the last answer.
func (c *callerConn) linger() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		_ = c.Conn.Close()
		return
	}
	lost, reason := linger.Close(tcp, c.delivery.lastWrite())
	c.reportUndelivered(lost, reason)
}
