package main

import (
	"net"
	"sync"
	"syscall"
)

// link forwards connections to a listener. While it is cut, it forwards nothing in either
// direction; what was sent meanwhile arrives after the cut, as TCP sends it again, unless its sender
// has reset the connection.
type link struct {
	net.Listener
	to string

	mu   sync.Mutex // guards the fields below
	open chan struct{}
	// held has, by the link's own address of a connection to the listener, a channel that is closed when
	// answers on it go on.
	held map[string]chan struct{}
}

func newLink(ip, to string) *link {
	l := &link{Listener: listen(ip), to: to, open: make(chan struct{}), held: map[string]chan struct{}{}}
	close(l.open)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go l.forward(c)
		}
	}()
	return l
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.open)
}

// hold holds back the answers on one connection.
func (l *link) hold(connection string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[connection] = make(chan struct{})
}

// letGo ends what hold began.
func (l *link) letGo(connection string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.held[connection])
	delete(l.held, connection)
}

func (l *link) awaitAnswers(connection string) {
	l.mu.Lock()
	held := l.held[connection]
	l.mu.Unlock()
	if held != nil {
		<-held
	}
}

func (l *link) await() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

func (l *link) forward(c net.Conn) {
	l.await()
	out, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = c.Close()
		return
	}
	copyTo := func(to, from net.Conn, wait func()) {
		defer to.Close()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			wait()
			if n > 0 && wasReset(from) {
				return
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go copyTo(out, c, l.await)
	copyTo(c, out, func() {
		l.await()
		l.awaitAnswers(out.LocalAddr().String())
	})
}

// wasReset reports whether the other side has reset a connection.
func wasReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reset = err != nil && err != syscall.EAGAIN
	})
	return err != nil || reset
}
