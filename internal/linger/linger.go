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
	// closeTimeout is how long the other side, once it has acknowledged everything, may take to
	// close its side. Bytes in flight would still reset the connection, and some systems
	// then drop what their application has not read.
	closeTimeout = time.Second
	// stallTimeout ends the wait for a peer that acknowledges nothing.
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
	ErrPeerLingers = fmt.Errorf("the peer did not close the connection within %v", closeTimeout)
)

// Close closes the sending side of a connection, then reads and discards until the peer closes
// its side, or has acknowledged everything and had closeTimeout to do so. It returns the number of
// bytes that the peer has not acknowledged, and why the connection ended.
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
			time.Sleep(next.Sub(now))
			continue
		}
		_ = conn.SetReadDeadline(next)
		n, err := io.Copy(io.Discard, io.LimitReader(conn, maxDiscardedBytes-discarded))
		discarded += n
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
}

func (w *wait) observe(now time.Time, unacknowledged int) {
	if unacknowledged < w.unacknowledged {
		w.unacknowledged, w.progressAt = unacknowledged, now
	}
}

// next returns when to look again, or that the wait is over.
func (w *wait) next(now time.Time) (at time.Time, done bool) {
	end, at := w.progressAt.Add(closeTimeout), now.Add(closeTimeout)
	if w.unacknowledged > 0 {
		end, at = w.progressAt.Add(stallTimeout), now.Add(pollInterval)
	}
	if end.Before(at) {
		at = end
	}
	return at, !now.Before(end)
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
