// Package dial makes the dialers of a process's outgoing connections.
package dial

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout ends a connection whose peer acknowledges nothing: a silent cut
// shows no other sign.
const unackedTimeout = 2 * time.Second

// WithDeadPeerDetection returns a dialer like From whose connections end soon after their
// peer falls silent, idle ones too.
func WithDeadPeerDetection(localIP string, timeout time.Duration) *net.Dialer {
	dialer := From(localIP, timeout)
	dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}
	dialer.Control = func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
	return dialer
}

// From returns a dialer whose connections come from a local IP address, so that
// a VM with several addresses is known by the one in its settings. An empty or
// malformed localIP leaves the choice to the system.
func From(localIP string, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout}
	if ip := net.ParseIP(localIP); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer
}
