// Package headtest is a stand-in for a server in trouble that answers with invalid heads: statuses
// that no final answer has, or field names that are no tokens. Tests use it to check the readers of
// answers of both programs.
package headtest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// MaxTime bounds the time until a call fails. Calls have later deadlines.
const MaxTime = 500 * time.Millisecond

// Answer is one invalid answer.
type Answer struct {
	Name, Text string
	Reason     string // part of the error that the answer causes
}

// Answers returns the invalid answers that concern any reader. header is added to each head.
func Answers(header string) []Answer { return append(statuses(header), names(header)...) }

// statuses returns answers with invalid statuses.
func statuses(header string) []Answer {
	ok := "HTTP/1.1 200 OK\r\n" + header + "Content-Length: 2\r\n\r\n{}"
	var answers []Answer
	for _, status := range []string{"000", "099", "600", "999"} {
		head, reason := "HTTP/1.1 "+status+" No\r\n"+header, "invalid status "+status
		answers = append(answers,
			Answer{status + " without a body", head + "Content-Length: 0\r\n\r\n", reason},
			Answer{status + " without a length", head + "\r\n", reason},
			Answer{status + " with an answer as its body", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(ok), ok), reason},
			Answer{status + " before another answer", head + "Content-Length: 0\r\n\r\n" + ok, reason},
			Answer{status + " after an interim answer", "HTTP/1.1 103 Early Hints\r\n" + header + "\r\n" + head + "Content-Length: 0\r\n\r\n" + ok, reason})
	}
	interim := strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+header+"\r\n", 17)
	return append(answers, Answer{"17 interim answers", interim + ok, "invalid status 103"})
}

// Switching is an answer with status 101 without one that follows. Readers on net/http take it
// as a final answer.
func Switching(header string) Answer {
	return Answer{"101", "HTTP/1.1 101 Switching Protocols\r\n" + header + "Connection: Upgrade\r\nUpgrade: x\r\n\r\n", "invalid status 101"}
}

// names returns answers with invalid field names.
func names(header string) []Answer {
	const final, interim, end = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n", "Content-Length: 2\r\n\r\n{}"
	var answers []Answer
	add := func(name, text string) { answers = append(answers, Answer{name, text, "invalid field name"}) }
	// net/http refuses other invalid bytes by itself, but not blanks.
	for _, line := range []string{"X Note: a", "X-Note : a", "X :Note: a"} {
		name, line := fmt.Sprintf("%q", line), line+"\r\n"
		add(name+" first", final+line+header+end)
		add(name+" last", final+header+"Content-Length: 2\r\n"+line+"\r\n{}")
		add(name+" without a body", final+header+line+"Content-Length: 0\r\n\r\n")
		add(name+" without a length", final+header+line+"\r\n{}")
		add(name+" with a large body", final+header+line+"Content-Length: 1073741824\r\n\r\n{}")
		add(name+" before another answer", final+header+line+"Content-Length: 0\r\n\r\n"+final+header+end)
		add(name+" in an interim answer", interim+header+line+"\r\n"+final+header+end)
		add(name+" after an interim answer", interim+"Link: a\r\n\r\n"+final+header+line+end)
		add(name+" with line feeds only", strings.ReplaceAll(final+header+line+end, "\r", ""))
	}
	chunk := "2\r\n{}\r\n0\r\n\r\n"
	add("length", final+header+"Content-Length : 2\r\n\r\n{}")
	add("second length", final+header+"Content-Length : 1\r\n"+end)
	add("transfer encoding", final+header+"Transfer-Encoding : chunked\r\n\r\n"+chunk)
	add("transfer encoding beside a length", final+header+"Transfer-Encoding : chunked\r\n"+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(chunk), chunk))

	for _, invalid := range []string{"\x00", "\x01", "\t", "\v", "\r", "\x1f", "\x7f", "\x80", "(", "\r\n"} {
		name := fmt.Sprintf("%q", invalid)
		add(name+" in a name", final+header+"X"+invalid+"Note: a\r\n"+end)
		add(name+" before the colon", final+header+"X-Note"+invalid+": a\r\n"+end)
		add(name+" in an interim answer", interim+header+"X"+invalid+"Note: a\r\n\r\n"+final+header+end)
	}
	add("blank before the first name", final+" X-Note: a\r\n"+header+end)
	add("empty name", final+header+": a\r\n"+end)
	return answers
}

// Server sends a text to the first request on each connection.
type Server struct {
	Address  string
	Reused   atomic.Bool // a second request came on a connection
	Requests atomic.Int64
	ended    chan error // why each connection ended
}

// Serve starts a server that answers with text.
func Serve(t testing.TB, text string) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{Address: listener.Addr().String(), ended: make(chan error, 64)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c, text)
		}
	}()
	return s
}

func (s *Server) serve(c net.Conn, text string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return // a connection that was opened in advance
	}
	s.Requests.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, text)
	if _, err = reader.ReadByte(); err == nil {
		s.Reused.Store(true)
	}
	s.ended <- err
}

// CheckReset fails the test if the first connection that got an answer isn't reset at once, or
// carries another request.
func (s *Server) CheckReset(t testing.TB) {
	t.Helper()
	select {
	case err := <-s.ended:
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the connection ended with %v, want a reset", err)
		}
	case <-time.After(MaxTime):
		t.Error("the connection is still open")
	}
	if s.Reused.Load() {
		t.Error("a second request was sent on the connection")
	}
}

// CheckClient calls servers that answer invalidly, and fails the test if a call succeeds, does
// not fail at once or does not name the reason, or if its connection stays open.
func CheckClient(t *testing.T, header string, call func(address string) error) {
	t.Helper()
	for _, a := range append(Answers(header), Switching(header)) {
		t.Run(a.Name, func(t *testing.T) {
			server := Serve(t, a.Text)
			result := make(chan error, 1)
			go func() { result <- call(server.Address) }()
			var err error
			select {
			case err = <-result:
			case <-time.After(MaxTime):
				t.Fatalf("the call has not failed after %v", MaxTime)
			}
			if err == nil || !strings.Contains(err.Error(), a.Reason) {
				t.Errorf("got error %v, want one with %q", err, a.Reason)
			}
			server.CheckReset(t)
		})
	}
}
