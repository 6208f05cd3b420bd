package entry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"kumquatcleat/internal/linger"
	"kumquatcleat/internal/serverconn"
)

const (
	// streamSendBytes is the kernel's buffer for sending to a caller with a streamed answer. A larger
	// one becomes writable again only after a slow caller has read for many seconds, in which the
	// server is not read. It suffices for 80 Mbit/s at a round trip of 6 ms.
	streamSendBytes = 64 << 10
	// progressInterval is how often a write that waits looks at what the caller has acknowledged.
	progressInterval = writeTimeout / 5
	// lastChunk ends an answer that is sent in chunks.
	lastChunk = "0\r\n\r\n"
)

// writeStream writes the rest of an answer's head, which has begun in b, and the body from a stream. An
// error means that the answer is incomplete, so that the connection has to be closed.
func (c *callerConn) writeStream(p *pendingAnswer, b *bytes.Buffer, stream *serverconn.Stream) error {
	defer stream.Close()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(streamSendBytes)
	}
	chunked := stream.Length() < 0
	if chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		// The answer counts as written only with its last chunk.
		c.delivery.begin(p.requestID(), b.Len()+len(lastChunk))
	} else {
		b.WriteString("Content-Length: " + strconv.FormatInt(stream.Length(), 10) + "\r\n\r\n")
		c.delivery.begin(p.requestID(), b.Len()+int(stream.Length()))
	}
	if err := c.writeParts(b.Bytes()); err != nil {
		return err
	}
	for {
		part, err := stream.Next()
		switch {
		case errors.Is(err, io.EOF) && chunked:
			return c.writeParts([]byte(lastChunk))
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case chunked:
			err = c.sendChunk(part)
		default:
			err = c.writeParts(part)
		}
		if err != nil {
			return err
		}
	}
}

func (c *callerConn) sendChunk(part []byte) error {
	size := fmt.Appendf(nil, "%x\r\n", len(part))
	end := []byte("\r\n")
	c.delivery.extend(len(size) + len(part) + len(end))
	return c.writeParts(size, part, end)
}

// writeParts writes a few small parts of a streamed answer. The caller may read as slowly as it likes, but
// not pause for writeTimeout.
func (c *callerConn) writeParts(parts ...[]byte) error {
	rest := net.Buffers(parts)
	queued, progressAt := c.queued(), time.Now()
	for {
		_ = c.SetWriteDeadline(time.Now().Add(progressInterval))
		n, err := rest.WriteTo(c.Conn)
		c.delivery.wrote(int(n))
		before := queued
		if queued = c.queued(); n > 0 || queued < before {
			progressAt = time.Now()
		}
		if !isTimeout(err) || time.Since(progressAt) >= writeTimeout {
			return err
		}
	}
}

// queued returns how many bytes the kernel holds that the caller's host has not acknowledged, 0 if it
// does not tell.
func (c *callerConn) queued() int {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return max(linger.Unacknowledged(tcp), 0)
	}
	return 0
}
