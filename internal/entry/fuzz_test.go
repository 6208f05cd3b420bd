package entry

import (
	"bufio"
	"bytes"
	"net"
	"testing"
	"time"

	"kumquatcleat/internal/routetable"
)

// bytesConn is a connection that delivers fixed input and accepts all output.
type bytesConn struct {
	net.Conn
	input *bytes.Reader
}

// Read implements net.Conn.
func (c bytesConn) Read(p []byte) (int, error) { return c.input.Read(p) }

// Write implements net.Conn.
func (c bytesConn) Write(p []byte) (int, error) { return len(p), nil }

// SetReadDeadline implements net.Conn.
func (c bytesConn) SetReadDeadline(time.Time) error { return nil }

// Whatever a caller sends, each request read from it stays within the limits and has
// a target that can be forwarded.
func FuzzCallerRequests(f *testing.F) {
	for _, seed := range []string{
		"GET /p/ HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nDeadline-Ms: 20\r\nKey: 5\r\n\r\nGET /p/ HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhelloGET",
		"POST /p/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nTrailer: a\r\n\r\n",
		"POST /p/ HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		limits := routetable.Limits{HeaderBytes: 256, BodyBytes: 64, HeaderTimeout: time.Second, IdleTimeout: time.Second}
		server := NewServer(Settings{Limits: limits, MaxBodyBytes: 1 << 20, BodyTimeout: time.Second}, nil, fixedTable{}, testDialect, nil)
		conn := bytesConn{input: bytes.NewReader(input)}
		c := &callerConn{Conn: conn, server: server, reader: bufio.NewReaderSize(conn, 64)}
		for {
			request, _ := c.readRequest(nil)
			if request == nil {
				return
			}
			if int64(len(request.Body)) > limits.BodyBytes || len(request.Target) > limits.HeaderBytes {
				t.Fatalf("accepted a target of %d and a body of %d bytes", len(request.Target), len(request.Body))
			}
			if bytes.ContainsAny([]byte(request.Target+request.Host+request.ID+request.Method), "\r\n") {
				t.Fatalf("accepted a request with a line break: %+v", request)
			}
		}
	})
}
