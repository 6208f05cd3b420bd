package serverconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"kumquatcleat/internal/membudget"
	"kumquatcleat/internal/registry"
)

const streamHead = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: x\r\n"

// stream sends a request with the ID 1 and returns the stream of its answer, nil if there is none.
func stream(t *testing.T, s *Sender, server *registry.Server, limit int64, memory *membudget.Reservation) (*Stream, *Failure) {
	s.maxBodyBytes = limit
	r, f := s.Do(t.Context(), &Request{ID: "1", Method: "GET", Target: "/x", Host: "h", Deadline: time.Now().Add(time.Second), Server: server, Memory: memory})
	if f != nil {
		return nil, f
	}
	return r.Stream, nil
}

// drain reads a stream to its end. The end must be reported once.
func drain(t *testing.T, s *Stream) (body string, failure *Failure, err error) {
	ends := 0
	s.OnEnd(func(f *Failure) { ends, failure = ends+1, f })
	for err == nil {
		var part []byte
		part, err = s.Next()
		body += string(part)
	}
	if ends != 1 {
		t.Errorf("end reported %d times, want once", ends)
	}
	return body, failure, err
}

// Guards against answers that fail because they do not fit into memory, or lose a byte where the
// buffered part ends, and against reuse of a connection although the body was not framed.
func TestAnswerThatDoesNotFitIsStreamedWhole(t *testing.T) {
	body := strings.Repeat("0123456789", 30_000)
	length := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", streamHead, len(body), body)
	chunked := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", streamHead, len(body), body)
	for name, c := range map[string]struct {
		text          string
		limit, budget int64
		reused        bool
	}{
		"length over the limit":           {length, 1000, 1 << 20, true},
		"unknown length":                  {chunked, 1000, 1 << 20, true},
		"up to the end of the connection": {streamHead + "\r\n" + body + ".", 1000, 1 << 20, false},
		"budget exhausted from the start": {length, 1 << 20, 0, true},
		"budget exhausted on the way":     {length, 1 << 20, 200_000, true},
		"budget exhausted by the copy":    {length, 1 << 20, 400_000, true},
		"unknown length, no budget":       {chunked, 1 << 20, 0, true},
	} {
		server, _ := rawServer(t, c.text)
		s, budget := newSender(), membudget.New(c.budget)
		answer, f := stream(t, s, server, c.limit, budget.Open())
		if f != nil {
			t.Fatalf("%s: %v", name, f)
		}
		got, failure, err := drain(t, answer)
		if strings.TrimSuffix(got, ".") != body || !errors.Is(err, io.EOF) || failure != nil || s.pool.HasIdle(server) != c.reused {
			t.Errorf("%s: got %d bytes, error %v, failure %v, connection reused %v", name, len(got), err, failure, s.pool.HasIdle(server))
		}
		if budget.Used() > streamBufferBytes || s.pool.streamed.Count() != 1 {
			t.Errorf("%s: %d bytes in use after the stream, %d streams counted", name, budget.Used(), s.pool.streamed.Count())
		}
	}
}

// Guards against a reset that passes for the end of a body without a length, and against cuts that count
// as the fault of the wrong side.
func TestCutIsTheFaultOfWhoeverHeldTheAnswerUp(t *testing.T) {
	for _, wait := range []time.Duration{0, slowReaderTime + 200*time.Millisecond} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, _ := listener.Accept()
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, strings.Replace(streamHead, "%s", "1", 1)+"\r\npart of the body")
			time.Sleep(wait / 2)
			newConn(c).reset()
		}()
		s := newSender()
		answer, f := stream(t, s, &registry.Server{Address: listener.Addr().String()}, 1, nil)
		if f != nil {
			t.Fatal(f)
		}
		time.Sleep(wait) // the caller does not read
		_, failure, err := drain(t, answer)
		if slow := s.pool.cutBySlowReaders.Count() == 1; errors.Is(err, io.EOF) || slow != (wait > 0) || slow != (failure == nil) {
			t.Errorf("after %v: got error %v, failure %v, cut by a slow reader: %v", wait, err, failure, slow)
		}
	}
}

// Guards against a stream of an answer that states that its request did not start.
func TestRefusalIsNotStreamed(t *testing.T) {
	server, _ := rawServer(t, "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Started: 1\r\nContent-Length: 4\r\n\r\nfull")
	if answer, f := stream(t, newSender(), server, 3, nil); f == nil || f.Progress != Sent {
		t.Errorf("got stream %v, failure %v; want a failure with progress Sent", answer, f)
	}
}

// Guards against answers to HEAD that are taken for streams while the memory of answers is used up: a
// sound server would be taken for one that broke off its answer.
func TestAnswerToHeadIsNeverStreamed(t *testing.T) {
	server := cutServer(t, func() string { return fmt.Sprintf(streamHead, "1") + "Content-Length: 100000\r\n\r\n" })
	for limit, memory := range map[int64]*membudget.Reservation{1000: nil, 1 << 20: membudget.New(0).Open()} {
		s := newSender()
		s.maxBodyBytes = limit
		response, failure := s.Do(t.Context(), &Request{ID: "1", Method: "HEAD", Target: "/x", Host: "h", Deadline: time.Now().Add(time.Second), Server: server, Memory: memory})
		if failure != nil || response.Stream != nil || len(response.Body) > 0 || response.Header.Get("Content-Length") != "100000" {
			t.Errorf("limit %d: got response %+v, failure %v", limit, response, failure)
		}
	}
}

// Guards against a server that sends steadily and is cut off because one chunk takes long to fill the
// buffer, and against bytes that wait for that.
func TestStreamPassesBytesOnAsTheyCome(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	const parts, pause = 6, 50 * time.Millisecond
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 4096))
		_, _ = fmt.Fprintf(c, streamHead+"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", "1", 10+parts, "0123456789")
		for range parts {
			time.Sleep(pause)
			_, _ = c.Write([]byte("x"))
		}
		_, _ = c.Write([]byte("\r\n0\r\n\r\n"))
	}()
	st, failure := stream(t, newSender(), &registry.Server{ID: "s", Address: listener.Addr().String()}, 5, nil)
	if failure != nil || st == nil {
		t.Fatalf("got no stream, failure %v", failure)
	}
	got, reads := "", 0
	for err == nil {
		var part []byte
		part, err = st.Next()
		got, reads = got+string(part), reads+1
	}
	if want := "0123456789" + strings.Repeat("x", parts); got != want || !errors.Is(err, io.EOF) {
		t.Errorf("got body %q, error %v; want %q as a whole", got, err, want)
	}
	if reads < parts {
		t.Errorf("got the body in %d reads, want one for each of the %d parts that came apart", reads, parts)
	}
}
