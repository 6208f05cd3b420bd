// Package linger closes TCP connections without losing what was written to them.
package linger

import (
	"net"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns how many bytes that were written to the connection its peer has not
// acknowledged yet, 0 if the kernel does not tell.
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
