package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"kumquatcleat/internal/routing"
	"kumquatcleat/internal/settings"
	"kumquatcleat/internal/standin"
)

// dialNarrow opens a connection with a small receive buffer, so that most of what is written to it
// waits in the VM's kernel until the caller reads.
func dialNarrow(address string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	return dialer.Dial("tcp", address)
}

// Guards against answers that are written in a planned stop and lost by a reset, because their
// callers, who pipeline and read slowly, have sent further requests before they read that the
// connection closes.
func TestPlannedStopDeliversAnswersToPipeliningCallers(t *testing.T) {
	const connections, pad = 8, 15_000
	cluster := newTunedTestCluster(t, 1, func(s *settings.Settings) { s.ShutdownGraceMS = 8000 })
	vm := cluster.vms[0]
	var callers sync.WaitGroup
	for i := range connections {
		conn, err := dialNarrow(vm.settings.Listen)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		key := func(n int) string { return fmt.Sprintf("pipelined-%d-%d", i, n) }
		closed := make(chan struct{})
		callers.Go(func() {
			for n := 0; ; n++ {
				_, err := fmt.Fprintf(conn, "GET /swapbay/listings/%d HTTP/1.1\r\nHost: router\r\n%s: 3000\r\n%s: 150\r\n%s: %d\r\n%s: %s\r\n\r\n",
					i, routing.HeaderTimeout, standin.HeaderWorkMS, standin.HeaderPad, pad, routing.HeaderIdempotencyKey, key(n))
				if err != nil {
					return
				}
				select {
				case <-closed:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		})
		callers.Go(func() {
			defer func() { _ = conn.Close() }()
			defer close(closed)
			reader := bufio.NewReader(conn)
			for n := 0; ; n++ {
				resp, err := http.ReadResponse(reader, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
				}
				if err != nil {
					if runs := cluster.runs(func(r standin.RunRecord) bool { return r.IdempotencyKey == key(n) }); runs > 0 {
						t.Errorf("connection %d: request %d ran and got no whole answer: %s", i, n, err.Error()[strings.LastIndex(err.Error(), ": ")+1:])
					}
					return
				}
				if resp.Close {
					return
				}
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	vm.stop()
	if err := <-vm.exited; err != nil {
		t.Errorf("stop returned error %v, want none", err)
	}
	callers.Wait()
}
