package serverconn

import (
	"bytes"
	"net"
	"testing"

	"golang.org/x/net/http/httpguts"

	"kumquatcleat/internal/httphead/headtest"
	"kumquatcleat/internal/registry"
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

// Whatever a server sends, an accepted answer has a valid status and valid field names, an accepted
// success is signed, has the ID of the request and stays within the limit, and a connection with unread
// bytes is not reused.
func FuzzServerAnswer(f *testing.F) {
	for _, a := range endlessAnswers() {
		f.Add([]byte(a.Head + a.Repeated + a.Repeated))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: x\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 421 No\r\nNot-Started: 1\r\nLoad: 1,2,3\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nHTTP/1.1"))
	for _, a := range headtest.Answers(answerHeader) {
		f.Add([]byte(a.Text))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		const maxBody = 1 << 10
		s := NewSender(newSender().pool, testDialect, maxBody)
		c := newConn(bytesConn{input: bytes.NewReader(input)})
		response, _, err := s.roundTrip(c, &Request{ID: "1", Method: "GET", Target: "/", Host: "h", Server: &registry.Server{ID: "s"}})
		if err != nil {
			return
		}
		if response.Status < 200 || response.Status > 599 {
			t.Errorf("accepted status %d", response.Status)
		}
		for name := range response.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Errorf("accepted the field name %q", name)
			}
		}
		if response.Status/100 == 2 && (response.Header.Get("Signature") == "" || response.Header.Get("Request-Id") != "1") {
			t.Errorf("accepted a success without signature or request ID: %v", response.Header)
		}
		if len(response.Body) > maxBody {
			t.Errorf("accepted a body of %d bytes, the limit is %d", len(response.Body), maxBody)
		}
	})
}
