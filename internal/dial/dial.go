// Package dial makes the dialers of a process's outgoing connections.
package dial

import (
	"net"
	"time"
)

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
