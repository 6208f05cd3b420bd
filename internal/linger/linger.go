// Package linger closes TCP connections without losing what was written to them.
//
// The kernel resets a connection that is closed while it holds unread bytes, or that receives
// bytes afterwards, and drops what the other side has not acknowledged by then.
package linger

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"kumquatcleat/internal/wait"
)

const (
	// quietTimeout ends the wait for a peer that has acknowledged everything and sends nothing.
	quietTimeout = time.Second
	// readTimeout is how long after the last write the application at the other side may still
	// read: a forwarder acknowledges what it holds for it, and passes a reset on.
	readTimeout = 5 * time.Second
	// stallTimeout ends the wait for a peer that acknowledges nothing more.
	stallTimeout = 5 * time.Second
	// maxWait bounds the wait for a peer that acknowledges a little now and then.
	maxWait = 30 * time.Second
	// pollInterval is how often the acknowledgements are looked at, and pollBytes how much is
	// read until then. Flow control holds a peer back that sends more.
	pollInterval = 100 * time.Millisecond
	pollBytes    = 64 << 10
)

// Reasons for which a connection ended.
var (
	ErrStalled    = fmt.Errorf("the peer acknowledged nothing for %v", stallTimeout)
	ErrTooSlow    = fmt.Errorf("the peer did not acknowledge everything within %v", maxWait)
	ErrPeerClosed = errors.New("the peer closed the connection")
	// ErrPeerLingers says that the peer has acknowledged everything and not closed its side.
	ErrPeerLingers = errors.New("the peer did not close the connection")
)

// Close closes the sending side of a connection, then reads and discards until the peer closes
// its side, or has acknowledged everything, had time to read it and sends nothing more. lastWrite
// is when something was written last. It returns the number of bytes that are lost because the peer
// has not acknowledged them, 0 if the kernel does not tell, and why the connection ended.
func Close(conn *net.TCPConn, lastWrite time.Time) (lost int, reason error) {
	defer func() { _ = conn.Close() }()
	if err := conn.CloseWrite(); err != nil {
		return max(Unacknowledged(conn), 0), err
	}
	p := newPatience(time.Now(), lastWrite)
	for {
		now := time.Now()
		p.observe(now, afterFIN(Unacknowledged(conn)))
		next, ended := p.next(now)
		if ended != nil {
			return p.lost(), ended
		}
		_ = conn.SetReadDeadline(next)
		n, err := io.Copy(io.Discard, io.LimitReader(conn, pollBytes))
		if n > 0 {
			p.received(time.Now())
		}
		switch {
		case n == pollBytes:
			time.Sleep(pollInterval)
		case err == nil:
			// Nothing can reset the connection now: the kernel delivers the rest, if the peer
			// has only closed its sending side.
			return 0, ErrPeerClosed
		case !errors.Is(err, os.ErrDeadlineExceeded):
			p.observe(time.Now(), afterFIN(Unacknowledged(conn)))
			return p.lost(), err
		}
	}
}

// afterFIN returns how many of the unacknowledged bytes can be data once the sending side is
// closed: Linux counts the FIN.
func afterFIN(unacknowledged int) int {
	if unacknowledged <= 0 {
		return unacknowledged
	}
	return unacknowledged - 1
}

// patience decides how long Close waits.
type patience struct {
	began, lastWrite time.Time
	unacknowledged   int       // bytes; math.MaxInt: not known
	progressAt       time.Time // when the peer acknowledged something last
	receivedAt       time.Time // when it sent something last
}

func newPatience(now, lastWrite time.Time) *patience {
	return &patience{began: now, lastWrite: lastWrite, unacknowledged: math.MaxInt, progressAt: now}
}

// observe records how many bytes are not acknowledged; negative: the kernel does not tell.
func (p *patience) observe(now time.Time, unacknowledged int) {
	if unacknowledged >= 0 && unacknowledged < p.unacknowledged {
		p.unacknowledged, p.progressAt = unacknowledged, now
	}
}

func (p *patience) received(now time.Time) { p.receivedAt = now }

// next returns when to look again, or why the wait is over.
func (p *patience) next(now time.Time) (at time.Time, ended error) {
	end, reason := p.progressAt.Add(stallTimeout), ErrStalled
	if p.unacknowledged == 0 {
		quiet := wait.Later(p.progressAt, p.receivedAt).Add(quietTimeout)
		end, reason = wait.Earlier(end, wait.Later(quiet, p.lastWrite.Add(readTimeout))), ErrPeerLingers
	}
	if limit := p.began.Add(maxWait); limit.Before(end) {
		end, reason = limit, ErrTooSlow
	}
	if !now.Before(end) {
		return now, reason
	}
	if p.unacknowledged > 0 {
		return wait.Earlier(end, now.Add(pollInterval)), nil
	}
	return end, nil
}

// lost returns the number of bytes that are lost if the connection is closed now.
func (p *patience) lost() int {
	if p.unacknowledged == math.MaxInt {
		return 0
	}
	return p.unacknowledged
}

// Unacknowledged returns how many bytes that were written to the connection its peer has not
// acknowledged yet, -1 if the kernel does not tell.
func Unacknowledged(conn *net.TCPConn) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return -1
	}
	queued := -1
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			queued = n
		}
	})
	if err != nil {
		return -1
	}
	return queued
}
