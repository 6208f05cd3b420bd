// Package endless is a stand-in for a server in trouble that sends bytes without end. Tests
// use it to check that a reader bounds its memory and its time.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

const (
	// HeapBytes bounds the growth of the heap during one call. The smallest entry VM has
	// 184 MB for the calls of all its connections.
	HeapBytes = 16 << 20
	// MaxTime bounds the time until a call fails. Calls have later deadlines.
	MaxTime = 2 * time.Second
)

// Answer is one way to send bytes without end: Head once, then Repeated until the other
// side closes the connection.
type Answer struct{ Name, Head, Repeated string }

// Answers returns the ways that concern any reader of HTTP answers. header is added to
// each head that is complete.
func Answers(header string) []Answer {
	return []Answer{
		{"header line", "HTTP/1.1 200 OK\r\nX-Long: ", "a"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-Many: a\r\n"},
		{"status line", "HTTP/1.1 200 ", "a"},
		{"bytes that are not HTTP", "", "\x00\xff\x17"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body up to the end of the connection", "HTTP/1.1 200 OK\r\n" + header + "\r\n", "a"},
		{"chunks", "HTTP/1.1 200 OK\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("a", 64) + "\r\n"},
		{"chunk extension", "HTTP/1.1 200 OK\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
		{"trailers", "HTTP/1.1 200 OK\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Many: a\r\n"},
	}
}

// blockBytes is the size of one write.
const blockBytes = 64 << 10

// Serve starts a server that answers the first request of each connection with a. It
// returns the server's address.
func Serve(t testing.TB, a Answer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	block := []byte(strings.Repeat(a.Repeated, 1+blockBytes/len(a.Repeated)))
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go send(c, a.Head, block)
		}
	}()
	return listener.Addr().String()
}

func send(c net.Conn, head string, block []byte) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	// The block is written without a copy: garbage of the sender would count as memory of
	// the reader.
	for _, err = io.WriteString(c, head); err == nil; {
		_, err = c.Write(block)
	}
}

// Check runs a call and fails the test if the heap grows by more than HeapBytes or the
// call takes longer than MaxTime.
func Check(t testing.TB, call func()) {
	t.Helper()
	start := time.Now()
	peak := heapGrowth(call)
	took := time.Since(start)
	t.Logf("heap grew by %.1f MB in %v", float64(peak)/(1<<20), took.Round(time.Millisecond))
	if peak > HeapBytes {
		t.Errorf("heap grew by %d MB, want at most %d", peak>>20, HeapBytes>>20)
	}
	if took > MaxTime {
		t.Errorf("call took %v, want at most %v", took, MaxTime)
	}
}

// CheckClient runs a client's call against servers that answer without end, in each way, and
// fails the test if the call succeeds. header is added to each head that is complete.
func CheckClient(t *testing.T, header string, call func(t *testing.T, address string) error) {
	t.Helper()
	for _, a := range Answers(header) {
		t.Run(a.Name, func(t *testing.T) {
			address := Serve(t, a)
			Check(t, func() {
				if err := call(t, address); err == nil {
					t.Error("got no error, want one")
				}
			})
		})
	}
}

// heapGrowth returns by how much the heap exceeds its initial size at most while call
// runs.
func heapGrowth(call func()) uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	initial, peak := stats.HeapAlloc, stats.HeapAlloc
	done := make(chan struct{})
	go func() {
		defer close(done)
		call()
	}()
	for {
		select {
		case <-done:
			return peak - initial
		case <-time.After(2 * time.Millisecond):
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapAlloc)
		}
	}
}
