package entry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/dispatch"
	"kumquatcleat/internal/endless"
	"kumquatcleat/internal/fault"
	"kumquatcleat/internal/registry"
	"kumquatcleat/internal/serverconn"
)

// block repeats in the bodies of the test's server, so that their bytes tell their position.
var block = func() (b [251 * 200]byte) {
	for i := range b {
		b[i] = byte(i % 251)
	}
	return b
}()

// position is how many bytes of such a body have been written to it.
type position int

func (p *position) Write(b []byte) (int, error) {
	for written := 0; written < len(b); {
		want := block[int(*p)%len(block):]
		n := min(len(want), len(b)-written)
		if !bytes.Equal(b[written:written+n], want[:n]) {
			return written, fmt.Errorf("the bytes from %d on are other ones", *p)
		}
		written, *p = written+n, *p+position(n)
	}
	return len(b), nil
}

// sendAnswer answers a request to /p/SIZE/KIND, where KIND may contain: error, chunks, late, cut, silent.
func sendAnswer(c net.Conn, id, path string) (err error) {
	size, kind, status := 0, "", 200
	_, _ = fmt.Sscanf(path, "/p/%d/%s", &size, &kind)
	chunked, cut := strings.Contains(kind, "chunks"), strings.Contains(kind, "cut")
	if kind == "error" {
		status = 500
	}
	framing := map[bool]string{true: "Transfer-Encoding: chunked", false: fmt.Sprint("Content-Length: ", size)}[chunked]
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nSignature: s\r\n%s\r\n\r\n", status, id, framing)
	for from := 0; from < size && err == nil; from += len(block) {
		part := block[:min(len(block), size-from)]
		if chunked { // without a copy, whose memory would count as that of the VM
			_, _ = fmt.Fprintf(c, "%x\r\n", len(part))
		}
		_, err = c.Write(part)
		if chunked {
			_, _ = io.WriteString(c, "\r\n")
		}
		if kind == "late" && from == 0 {
			time.Sleep(400 * time.Millisecond) // longer than the deadline of the request
		}
		if strings.HasPrefix(kind, "silent") {
			_, err = c.Read(make([]byte, 1))
		}
		if cut && from > size/2 {
			return err
		}
	}
	if chunked {
		_, _ = io.WriteString(c, lastChunk)
	}
	return err
}

// startStreaming starts a VM that buffers answers up to 1 MB, with one server. The channel gets the
// result of each of the server's answers.
func startStreaming(t *testing.T) (*Server, *fakeSender, <-chan error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	sent := make(chan error, 100)
	go func() {
		for c, err := listener.Accept(); err == nil; c, err = listener.Accept() {
			go func() {
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					sent <- sendAnswer(c, r.Header.Get("Request-Id"), r.URL.Path)
				}
			}()
		}
	}()
	pool := serverconn.NewPool(serverconn.Settings{DialTimeout: time.Second, IdlePerServer: func(string) int { return 0 }}, metrics.NewRegistry())
	sender := serverconn.NewSender(pool, testDialect, 1<<20)
	s, requests := startServer(t, func(ctx context.Context, r *serverconn.Request) (*serverconn.Response, *serverconn.Failure) {
		there := *r
		there.Server = &registry.Server{ID: "s1", Incarnation: 1, Address: listener.Addr().String()}
		return sender.Do(ctx, &there)
	})
	s.core.Registry.Put(registry.Server{ID: "s2", Service: "svc", Address: "127.0.0.1:1", Slots: 6, Incarnation: 1}) // for retries
	return s, requests, sent
}

// ask sends requests and returns a function that reads the next answer: its stated length and how much
// of its body arrived.
func ask(t *testing.T, c net.Conn, paths ...string) func() (int64, position, error) {
	for _, path := range paths {
		_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nDeadline-Ms: %d\r\n\r\n", path, map[bool]int{true: 300, false: 5000}[strings.HasSuffix(path, "late")])
	}
	reader := bufio.NewReader(c)
	return func() (stated int64, got position, err error) {
		resp, err := http.ReadResponse(reader, &http.Request{Method: "GET"})
		if err != nil {
			return 0, 0, err
		}
		_, err = io.Copy(&got, resp.Body)
		return resp.ContentLength, got, err
	}
}

// Guards against large answers that fail, arrive changed or out of order, take the memory of the VM, run
// twice or end with their request's deadline, and against a balancer that takes their server for idle.
func TestLargeAnswersArriveWholeInOrder(t *testing.T) {
	s, requests, _ := startStreaming(t)
	load := func() (sum float64) {
		for _, id := range []string{"s1", "s2"} {
			sum += s.core.Balancer.Estimate(time.Now(), s.core.Registry.Get(id)).Load
		}
		return sum
	}
	sizes := map[string]int{"length": 30_000_000, "small": 5000, "chunks": 30_000_001, "budget": 4 * testBodiesBytes, "error": 2_000_000, "late": 2_000_001}
	order := []string{"length", "small", "chunks", "budget", "error", "late", "small"}
	var paths []string
	for _, kind := range order {
		paths = append(paths, fmt.Sprintf("/p/%d/%s", sizes[kind], kind))
	}
	next := ask(t, dial(t, s), paths...)
	endless.Check(t, func() {
		for _, kind := range order {
			if kind == "error" && load() < 1 {
				t.Errorf("the servers have load %v while one streams", load())
			}
			if stated, got, err := next(); err != nil || int(got) != sizes[kind] || (stated < 0) != (kind == "chunks") {
				t.Fatalf("%s: got %d bytes, stated length %d, error %v; want %d", kind, got, stated, err, sizes[kind])
			}
		}
	})
	if sends := len(requests.requests()); sends != len(order) || load() != 0 || s.undelivered.Count() != 0 {
		t.Errorf("got %d sends, load %v afterwards, %d answers not delivered; want %d, 0, 0", sends, load(), s.undelivered.Count(), len(order))
	}
	// VMs do not stream answers to each other.
	answer := s.core.Serve(t.Context(), &dispatch.Request{Method: "GET", Target: paths[0], Path: paths[0], Host: "h", Arrived: time.Now(), Relayed: true})
	if answer.Refusal != fault.ConnectionLost || answer.Stream != nil {
		t.Errorf("relayed: got answer %+v, want a refusal that promises nothing", answer)
	}
}

// Guards against answers that look complete to the caller although their server broke them off.
func TestBrokenOffAnswerNeverLooksComplete(t *testing.T) {
	for _, path := range []string{"/p/4000000/cut", "/p/4000000/cut-chunks"} {
		s, _, _ := startStreaming(t)
		next := ask(t, dial(t, s), path, "/p/100/behind")
		if _, got, err := next(); !errors.Is(err, io.ErrUnexpectedEOF) || got < 2_000_000 {
			t.Errorf("%s: got %d bytes, error %v; want an unexpected end", path, got, err)
		}
		if _, got, err := next(); err == nil {
			t.Errorf("%s: got an answer of %d bytes behind it, want none", path, got)
		}
		if got := s.undelivered.Count(); got != 1 {
			t.Errorf("%s: %d answers count as not delivered, want 1", path, got)
		}
	}
}

// Guards against servers that go on with the answer to a caller that has left or does not read, and
// against streams that never end because their server has fallen silent.
func TestAbandonedStreamEnds(t *testing.T) {
	// Both timeouts are 5 s and may have begun before the test looks at its clock.
	for kind, atLeast := range map[string]time.Duration{"caller-leaves": 0, "silent-caller-leaves": 0, "caller-stops": 4 * time.Second, "silent": 4 * time.Second} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			s, _, sent := startStreaming(t)
			c := dial(t, s)
			_ = ask(t, c, "/p/1000000000000/"+kind)
			if _, err := io.ReadFull(c, make([]byte, len(block))); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			if strings.HasSuffix(kind, "caller-leaves") {
				_ = c.Close()
			}
			select {
			case err := <-sent:
				if took := time.Since(began); err == nil || took < atLeast {
					t.Errorf("the server's connection ended with %v after %v, want %v at least", err, took, atLeast)
				}
			case <-time.After(atLeast + 4500*time.Millisecond):
				t.Error("the server's connection is still open")
			}
		})
	}
}

// Guards against streams that are cut off although their caller reads slowly but steadily, and against
// those that wait for ever for one that does not read.
func TestWriteOfStreamWaitsAsLongAsCallerReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		written := make(chan error, 1)
		go func() {
			written <- (&callerConn{Conn: near}).writeParts([]byte("size"), make([]byte, 12), []byte("end!"))
		}()
		for range 3 {
			time.Sleep(writeTimeout - time.Second)
			_, _ = io.ReadFull(far, make([]byte, 5))
		}
		began := time.Now()
		if err, waited := <-written, time.Since(began); !isTimeout(err) || waited < writeTimeout || waited > writeTimeout+progressInterval {
			t.Errorf("got error %v after %v without reading, want a timeout after %v", err, waited, writeTimeout)
		}
	})
}
