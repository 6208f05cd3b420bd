// Package serverconn sends requests to servers over pooled connections and reads
// their answers, or streams those that do not fit into memory. It never sends a request twice.
package serverconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"kumquatcleat/internal/httphead"
)

const (
	readerBytes = 4 << 10 // holds the head and body of most answers
	// reuseMargin is how long before a server's idle timeout a connection is no longer
	// reused, because the server may close it while a request is in transit.
	reuseMargin = 1500 * time.Millisecond
	// defaultIdleTimeout is used for servers that do not announce their idle timeout.
	defaultIdleTimeout = 4 * time.Second
)

// conn is one connection to one incarnation of a server. It carries one request at a
// time.
type conn struct {
	net.Conn
	opened      time.Time
	session     uint64 // session of control calls; 0: none yet
	input       *boundedReader
	reader      *bufio.Reader // buffers input
	neverPooled bool          // it was not yet put into the pool
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(c net.Conn) *conn {
	input := &boundedReader{Reader: c}
	return &conn{
		Conn: c, opened: time.Now(), input: input, reader: bufio.NewReaderSize(input, readerBytes),
		neverPooled: true, idleTimeout: defaultIdleTimeout,
	}
}

// Limits of the parts of an answer other than its body. A faulty server may send any of
// them without end.
const (
	maxHeadBytes      = 64 << 10 // one head: status line and header lines
	maxSkippedAnswers = 4        // late answers to earlier requests before the one read for
	maxSkippedBytes   = 64 << 10 // body of an answer whose content is not used
)

// boundedReader reads from a connection until a limit.
type boundedReader struct {
	io.Reader
	left int64 // bytes that may still be read
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, fmt.Errorf("%w: the head exceeds %d bytes", errInvalidAnswer, maxHeadBytes)
	}
	n, err := r.Reader.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// readFinal reads the head of a final answer to a request with the given method. It
// skips interim answers. The body must not be closed: Close reads it to its end, which
// may never come.
func (c *conn) readFinal(method string) (*http.Response, error) {
	defer func() { c.input.left = math.MaxInt64 }() // the reader of a body has its own limit
	for answers := (httphead.Sequence{}); ; {
		c.input.left = maxHeadBytes
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, readError(err)
		}
		final, err := answers.Next(resp.StatusCode)
		if err == nil {
			err = httphead.CheckNames(resp.Header)
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errInvalidAnswer, err)
		}
		if final {
			return resp, nil
		}
	}
}

// readError marks an error of reading an answer as errInvalidAnswer unless it is an
// error of the connection.
func readError(err error) error {
	var connection interface{ Timeout() bool }
	if errors.As(err, &connection) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errInvalidAnswer) {
		return err
	}
	return fmt.Errorf("%w: %w", errInvalidAnswer, err)
}

// discard reads the body of an answer whose content is not used.
func discard(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes+1))
	if err != nil {
		return readError(err)
	}
	if n > maxSkippedBytes {
		return fmt.Errorf("%w: body exceeds %d bytes", errInvalidAnswer, maxSkippedBytes)
	}
	return nil
}

// reusable reports whether an idle connection can carry a request that accepts at most
// maxIdle of idle time: the connection must be open and without unsolicited input.
func (c *conn) reusable(now time.Time, maxIdle time.Duration) bool {
	idle := now.Sub(c.idleSince)
	if idle > maxIdle || idle > c.idleTimeout-reuseMargin || c.reader.Buffered() > 0 {
		return false
	}
	return c.noPendingInput()
}

// noPendingInput reports whether the socket has neither unread bytes nor an end of stream.
func (c *conn) noPendingInput() bool {
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noInput = err == unix.EAGAIN
	})
	return err == nil && noInput
}

// reset closes the connection with a TCP reset, so that bytes still in transit are dropped.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
