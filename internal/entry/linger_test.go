package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"kumquatcleat/internal/serverconn"
)

// dialNarrow opens a connection with a small receive buffer, so that most of what is written to it
// waits in the server's kernel until the caller reads.
func dialNarrow(t *testing.T, s *Server) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	c, err := dialer.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// Guards against answers that are written and then lost by a reset, because the caller, which
// pipelines and reads slowly, has sent further requests before it reads that the connection closes.
func TestSlowReaderGetsAllAnswersDuringShutdown(t *testing.T) {
	const requests, size = 4, 15_000
	began := make(chan struct{})
	s, _ := startServer(t, func(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		if r.ID == fmt.Sprint(requests) {
			<-began
		}
		answer, failure := answerOK(ctx, r)
		answer.Body = []byte(strings.Repeat(r.ID, size))
		return answer, failure
	})
	c := dialNarrow(t, s)
	for i := 1; i <= requests; i++ {
		_, _ = fmt.Fprintf(c, "GET /p/ HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", i)
	}
	time.Sleep(100 * time.Millisecond)
	s.BeginShutdown(time.Now().Add(5 * time.Second))
	close(began)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, err := fmt.Fprintf(c, "GET /p/ HTTP/1.1\r\nHost: h\r\nRequest-Id: late\r\n\r\n"); err != nil {
			t.Fatalf("send further request: %v", err)
		}
	}
	reader := bufio.NewReader(c)
	for i := 1; i <= requests; i++ {
		status, body, resp := read(t, reader)
		if status != 200 || body != strings.Repeat(fmt.Sprint(i), size) || resp.Close != (i == requests) {
			t.Fatalf("answer %d: got status %d, %d bytes of body, close %v; want 200, the whole body of this request, close only on the last", i, status, len(body), resp.Close)
		}
	}
}
