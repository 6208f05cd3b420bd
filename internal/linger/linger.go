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
)

const (
	// quietTimeout ends the wait for a peer that has acknowledged everything and sends nothing.
	// One that goes on sending has not read yet that the connection closes: a forwarder
	// acknowledges what it still holds for the application, and passes a reset on.
	quietTimeout = time.Second
	// stallTimeout ends the wait for a peer that acknowledges nothing more.
	stallTimeout = 5 * time.Second
	// maxDiscardedBytes bounds how much is read. Beyond it, flow control holds the peer back.
	maxDiscardedBytes = 1 << 20
	// pollInterval is how often the acknowledgements are looked at.
	pollInterval = 100 * time.Millisecond
)

// Reasons for which a connection ended.
var (
	ErrStalled    = fmt.Errorf("the peer acknowledged nothing for %v", stallTimeout)
	ErrPeerClosed = errors.New("the peer closed the connection")
	// ErrPeerLingers says that the peer has acknowledged everything and not closed its side.
	ErrPeerLingers = errors.New("the peer did not close the connection")
)

// Close closes the sending side of a connection, then reads and discards until the peer closes
// its side, or has acknowledged everything and sends nothing more. It returns the number of bytes
// that the peer has not acknowledged, and why the connection ended.
func Close(conn *net.TCPConn) (unacknowledged int, reason error) {
	defer func() { _ = conn.Close() }()
	if err := conn.CloseWrite(); err != nil {
		return Unacknowledged(conn), err
	}
	w := wait{unacknowledged: math.MaxInt, progressAt: time.Now()}
	for discarded := int64(0); ; {
		now := time.Now()
		w.observe(now, Unacknowledged(conn))
		next, done := w.next(now)
		switch {
		case done && w.unacknowledged > 0:
			return w.unacknowledged, ErrStalled
		case done:
			return 0, ErrPeerLingers
		case discarded == maxDiscardedBytes:
			w.received(next)
			time.Sleep(next.Sub(now))
			continue
		}
		_ = conn.SetReadDeadline(next)
		n, err := io.Copy(io.Discard, io.LimitReader(conn, maxDiscardedBytes-discarded))
		if discarded += n; n > 0 {
			w.received(time.Now())
		}
		switch {
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return w.unacknowledged, err
		case err == nil && discarded < maxDiscardedBytes:
			w.observe(now, Unacknowledged(conn))
			return w.unacknowledged, ErrPeerClosed
		}
	}
}

// wait decides how long Close waits.
type wait struct {
	unacknowledged int       // bytes
	progressAt     time.Time // when the peer acknowledged something last
	receivedAt     time.Time // when it sent something last
}

func (w *wait) observe(now time.Time, unacknowledged int) {
	if unacknowledged < w.unacknowledged {
		w.unacknowledged, w.progressAt = unacknowledged, now
	}
}

func (w *wait) received(now time.Time) { w.receivedAt = now }

// next returns when to look again, or that the wait is over.
func (w *wait) next(now time.Time) (at time.Time, done bool) {
	end := w.progressAt.Add(stallTimeout)
	if w.unacknowledged > 0 {
		return earlier(end, now.Add(pollInterval)), !now.Before(end)
	}
	end = earlier(end, later(w.progressAt, w.receivedAt).Add(quietTimeout))
	return end, !now.Before(end)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Unacknowledged returns how many bytes that were written to the connection its peer has not
// acknowledged yet. It is 0 if the kernel does not tell.
func Unacknowledged(conn *net.TCPConn) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	err = raw.Control(func(fd uintptr) {
		var queryErr error
		if queued, queryErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); queryErr != nil {
			queued = 0
		}
	})
	if err != nil {
		return 0
	}
	return queued
}
