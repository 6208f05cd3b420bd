// Package dial creates the dialers for a process's outgoing connections.
package dial

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout closes a connection whose peer stops acknowledging data. A network that
// silently drops packets gives no other sign.
const unackedTimeout = 2 * time.Second

// WithDeadPeerDetection returns a dialer like From whose connections, idle ones included,
// are closed soon after the peer stops responding.
func WithDeadPeerDetection(localIP string, timeout time.Duration) *net.Dialer {
	dialer := From(localIP, timeout)
	dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}
	dialer.Control = func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		})
		return errors.Join(err, optErr)
	}
	return dialer
}

// From returns a dialer whose connections use localIP as source address, so that a VM with
// several addresses is identified by the one in its settings. With an empty or malformed
// localIP the operating system chooses the address.
func From(localIP string, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout}
	if ip := net.ParseIP(localIP); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer
}
