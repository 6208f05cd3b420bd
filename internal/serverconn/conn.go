// Package serverconn sends requests to servers over pooled connections and reads
// their answers whole. It never sends a request twice.
package serverconn

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readerBytes = 4 << 10 // most answers' heads and bodies fit
	// reuseMargin keeps away from a server's idle timeout, which it may apply
	// while a request is on its way.
	reuseMargin = 1500 * time.Millisecond
	// defaultIdle is used where a server does not tell its idle timeout.
	defaultIdle = 4 * time.Second
)

// conn is one connection to one start of a server. One request uses it at a time.
type conn struct {
	net.Conn
	opened   time.Time
	session  uint64 // of control calls; 0: none yet
	reader   *bufio.Reader
	fresh    bool // no request was sent on it yet
	idleFrom time.Time
	idleMax  time.Duration
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, opened: time.Now(), reader: bufio.NewReaderSize(c, readerBytes), fresh: true, idleMax: defaultIdle}
}

// reusable reports whether an idle connection can take a request that tolerates
// at most the given idle time: it is still open and nothing unasked came in.
func (c *conn) reusable(now time.Time, mostIdle time.Duration) bool {
	idle := now.Sub(c.idleFrom)
	if idle > mostIdle || idle > c.idleMax-reuseMargin || c.reader.Buffered() > 0 {
		return false
	}
	return c.quiet()
}

// quiet reports whether the socket has neither bytes nor an end of stream.
func (c *conn) quiet() bool {
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}

// reset closes the connection so that bytes still on their way are dropped.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
