// Package serverconn sends requests to servers over pooled connections and reads
// complete answers. It never sends a request twice.
package serverconn

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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
	reader      *bufio.Reader
	neverPooled bool // it was not yet put into the pool
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, opened: time.Now(), reader: bufio.NewReaderSize(c, readerBytes), neverPooled: true, idleTimeout: defaultIdleTimeout}
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
