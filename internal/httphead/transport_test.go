package httphead

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a second answer of a server in trouble that arrives with the first one, before the
// next request is sent: net/http may hand the connection on before it notices those bytes, and the next
// request on it got them as its answer, with an unchecked head.
func TestAnswerBeforeItsRequestIsRefused(t *testing.T) {
	for _, extra := range []string{
		"HTTP/1.1 200 OK\r\nX Note: a\r\nContent-Length: 5\r\n\r\nextra",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra",
		"HTTP/1.1 204 No\r\nX-For: extra\r\n\r\n",
	} {
		t.Run(fmt.Sprintf("%.30q", extra), func(t *testing.T) {
			address := serveAnswersAnd(t, extra)
			client := &http.Client{Transport: Transport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: 8}), Timeout: 10 * time.Second}
			defer client.CloseIdleConnections()
			var callers sync.WaitGroup
			var own, early atomic.Int64
			for caller := range 8 {
				callers.Go(func() {
					for i := range 1000 {
						id := fmt.Sprintf("%d-%d", caller, i)
						body, gotID, err := get(client, address, id)
						switch {
						case err == nil && (gotID != id || body != ""):
							t.Errorf("request %s: got the answer to %q with body %q", id, gotID, body)
						case err == nil:
							own.Add(1)
						case strings.Contains(err.Error(), "before its request"):
							early.Add(1)
						}
					}
				})
			}
			callers.Wait()
			if own.Load() == 0 {
				t.Error("no request got its answer")
			}
			t.Logf("%d own answers, %d refused as early", own.Load(), early.Load())
		})
	}
}

// The same without the scheduling that it takes: bytes that were read before the connection was handed to
// a request do not begin its answer.
func TestBytesReadBeforeRequestDoNotBeginItsAnswer(t *testing.T) {
	server, client := net.Pipe()
	defer func() { _ = server.Close() }()
	c := &Conn{Conn: client}
	defer func() { _ = c.Close() }()
	read := func() {
		t.Helper()
		go func() { _, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\n") }()
		if _, err := c.Read(make([]byte, 64)); err != nil {
			t.Fatal(err)
		}
	}
	read()
	c.awaitAnswer()
	if c.answerBegun() {
		t.Error("the answer has begun before bytes came")
	}
	read()
	if !c.answerBegun() {
		t.Error("the answer has not begun with the bytes that came")
	}
}

// serveAnswersAnd starts a server that sends each answer, which has no body, together with extra bytes.
func serveAnswersAnd(t *testing.T, extra string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-For: "+r.Header.Get("X-For")+"\r\nContent-Length: 0\r\n\r\n"+extra)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// get sends a request with an ID and returns the body of the answer and the ID that it is for.
func get(client *http.Client, address, id string) (body, gotID string, err error) {
	// The body keeps net/http from sending the request again by itself.
	req, err := http.NewRequest(http.MethodPost, "http://"+address, struct{ io.Reader }{strings.NewReader("")})
	if err != nil {
		return "", "", err
	}
	req.Header.Set("X-For", id)
	resp, err := client.Do(req)
	if err != nil {
		return "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), resp.Header.Get("X-For"), err
}
