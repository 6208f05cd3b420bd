package serverconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"kumquatcleat/internal/registry"
)

// cutServer answers requests with the first bytes of a text and closes the connection.
func cutServer(t *testing.T, text func() string) *registry.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, text())
			_ = c.Close()
		}
	}()
	return &registry.Server{ID: "s1", Incarnation: 1, Address: listener.Addr().String()}
}

// Guards against callers that get a success with an empty or short body, framed as whole, because
// the server stopped in the middle of its answer and closed. Each answer is buffered first, then streamed.
func TestAnswerCutAnywhereIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: x\r\nX-Note: a\r\n"
	for name, text := range map[string]string{
		"with a length":          head + "Content-Length: 12\r\n\r\nhello, world",
		"in chunks":              head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
		"in chunks, trailers":    head + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\nc\r\nhello, world\r\n0\r\nX-End: 1\r\n\r\n",
		"line feeds only":        strings.ReplaceAll(head, "\r", "") + "Content-Length: 12\n\nhello, world",
		"after an interim one":   "HTTP/1.1 103 Early Hints\r\nRequest-Id: 1\r\n\r\n" + head + "Content-Length: 12\r\n\r\nhello, world",
		"closing the connection": head + "Connection: close\r\nContent-Length: 12\r\n\r\nhello, world",
		"length in two lines":    head + "Content-Length:\r\n 12\r\n\r\nhello, world",
	} {
		t.Run(name, func(t *testing.T) {
			cut := 0
			server := cutServer(t, func() string { return text[:cut] })
			for i := range 2 * (len(text) + 1) {
				cut = i / 2
				s := newSender()
				s.maxBodyBytes = map[int]int64{0: testMaxBodyBytes, 1: 3}[i%2]
				response, failure := s.Do(t.Context(), &Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h", Server: server, Deadline: time.Now().Add(time.Second)})
				if response != nil && response.Stream != nil {
					body, fault, err := drain(t, response.Stream)
					if response.Body = []byte(body); !errors.Is(err, io.EOF) {
						response, failure = nil, fault
					}
				}
				switch whole := response != nil; {
				case whole && string(response.Body) != "hello, world":
					t.Fatalf("cut after %d of %d bytes: got %d with body %q as a whole answer", cut, len(text), response.Status, response.Body)
				case whole && cut < len(text)-len("\r\n"):
					t.Fatalf("cut after %d of %d bytes (%q): got a whole answer", cut, len(text), text[:cut])
				case !whole && failure.Progress != Sent:
					t.Fatalf("cut after %d of %d bytes: got %v, which promises that it did not run", cut, len(text), failure)
				}
			}
		})
	}
}

// An answer that states neither a length nor chunks is whole only if its head is, and ends
// with the connection: where in the body it ended can't be told, but an answer without a
// complete head is none.
func TestHeadCutAnywhereIsNoAnswer(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: x\r\nX-Note: a\r\n\r\n"
	cut := 0
	server := cutServer(t, func() string { return text[:cut] })
	for ; cut < len(text); cut++ {
		response, failure := newSender().Do(t.Context(), &Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h", Server: server, Deadline: time.Now().Add(time.Second)})
		if response != nil {
			t.Fatalf("cut after %d of %d bytes (%q): got %d as a whole answer", cut, len(text), text[:cut], response.Status)
		}
		if failure.Progress != Sent {
			t.Fatalf("cut after %d of %d bytes: got %v, which promises that it did not run", cut, len(text), failure)
		}
	}
}
