package serverconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"kumquatcleat/internal/membudget"
	"kumquatcleat/internal/registry"
)

const (
	// streamBufferBytes is the size of the buffer of a stream. It does not exceed what membudget
	// grants to each message when the budget is exhausted.
	streamBufferBytes = 16 << 10
	// streamReadTimeout ends a stream whose server sends nothing although this VM reads.
	streamReadTimeout = 5 * time.Second
	// slowReaderTime is for how long unread bytes must have waited for the caller, if a server that
	// cuts its answer off is to have done so because of that. Servers give up after some seconds.
	slowReaderTime = time.Second
)

// Errors of streams.
var (
	errStreamCanceled = errors.New("the answer is not needed any more")
	errStreamClosed   = errors.New("the answer was not read to its end")
)

// Stream is the body of an answer that does not fit into memory. It is read from the server as it is
// read from the stream, through a buffer of fixed size. Next is for one goroutine; the other methods
// are safe for concurrent use.
type Stream struct {
	sender *Sender
	conn   *conn
	server *registry.Server
	length int64

	// The fields below are used by Next.
	body   io.Reader
	parts  [][]byte // read before the stream began
	offset int      // in the first of parts
	memory *membudget.Reservation
	buffer []byte
	got    int64        // bytes returned
	passed atomic.Int64 // got, for other goroutines
	// returnedAt is when the last bytes were returned, heldUp for how long bytes of the server have
	// been waiting for the caller without a break.
	returnedAt time.Time
	heldUp     time.Duration

	reuse bool // the connection may be pooled after the end; set before the stream is used

	mu       sync.Mutex    // guards the fields below
	stop     func() bool   // stops following a context
	waited   time.Duration // spent waiting for the server
	ended    bool
	err      error // of Next after the end; io.EOF: the body is complete
	failure  *Failure
	observer func(*Failure)
}

func newStream(s *Sender, c *conn, resp *http.Response, r *Request, parts [][]byte) *Stream {
	return &Stream{
		sender: s, conn: c, server: r.Server, length: resp.ContentLength,
		body: resp.Body, parts: parts, memory: r.Memory,
	}
}

// start begins the stream after the exchange that read the head. reuse says whether the connection
// may be pooled after a complete body.
func (s *Stream) start(ctx context.Context, reuse bool) {
	s.sender.pool.streamed.Inc(1)
	s.returnedAt = time.Now()
	s.reuse = reuse
	s.Follow(ctx)
}

// Follow makes the stream end when ctx is done, and not any more when an earlier context is.
func (s *Stream) Follow(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	if s.stop != nil && !s.stop() {
		return // it is being canceled
	}
	s.stop = context.AfterFunc(ctx, func() { s.end(errStreamCanceled, nil) })
}

// Length returns the length of the body that the server stated, -1 if it stated none.
func (s *Stream) Length() int64 { return s.length }

// Waited returns how long the stream has waited for the server.
func (s *Stream) Waited() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waited
}

// Passed returns how many bytes of the body were passed on.
func (s *Stream) Passed() int64 { return s.passed.Load() }

// Complete reports whether the stream has ended with the whole body.
func (s *Stream) Complete() bool { return errors.Is(s.endError(), io.EOF) }

// OnEnd sets a function that is called once, when the stream ends, with the failure of the server or
// nil if the server is not at fault.
func (s *Stream) OnEnd(observer func(*Failure)) {
	s.mu.Lock()
	ended, failure := s.ended, s.failure
	s.observer = observer
	s.mu.Unlock()
	if ended {
		observer(failure)
	}
}

// Close ends the stream. The connection to the server is reset unless the body was complete.
func (s *Stream) Close() { s.end(errStreamClosed, nil) }

// Next returns the next bytes of the body, which stay valid until the next call, or io.EOF when the
// body is complete. After any other error, the body is incomplete.
func (s *Stream) Next() ([]byte, error) {
	if err := s.endError(); err != nil {
		return nil, err // the connection may be in use again
	}
	s.observeCaller()
	defer func() { s.returnedAt = time.Now() }()
	part := s.nextRead()
	if part == nil {
		var err error
		if part, err = s.read(); err != nil {
			return nil, err
		}
	}
	s.got += int64(len(part))
	s.passed.Store(s.got)
	return part, nil
}

// observeCaller takes account of the time that the caller took for the last bytes.
func (s *Stream) observeCaller() {
	if !s.conn.inputPending() {
		s.heldUp = 0
		return
	}
	s.heldUp += time.Since(s.returnedAt)
}

// inputPending reports whether bytes, the end or an error of the connection wait to be read. It leaves
// them there: reading an error once would make it look like a proper end the next time.
func (c *conn) inputPending() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	_ = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		pending = err == nil && n > 0
	})
	return pending
}

// nextRead returns bytes that were read before the stream began, nil if none are left. The memory of
// a part is free once it has been used.
func (s *Stream) nextRead() []byte {
	for len(s.parts) > 0 {
		if rest := s.parts[0][s.offset:]; len(rest) > 0 {
			n := min(len(rest), streamBufferBytes)
			s.offset += n
			return rest[:n]
		}
		s.memory.Shrink(int64(cap(s.parts[0])))
		s.parts[0] = nil
		s.parts, s.offset = s.parts[1:], 0
	}
	return nil
}

// read reads from the server.
func (s *Stream) read() ([]byte, error) {
	if s.buffer == nil {
		// The buffer is what bounds the memory of the stream, which goes on if the budget is exhausted.
		_ = s.memory.Grow(streamBufferBytes)
		s.buffer = make([]byte, streamBufferBytes)
	}
	for {
		began := time.Now()
		_ = s.conn.SetReadDeadline(began.Add(streamReadTimeout))
		// A chunk is read until the buffer is full, however slowly its bytes come. The deadline is
		// for a server that sends none.
		var n int
		var err error
		if s.length < 0 || s.got < s.length {
			_, err = s.conn.reader.Peek(1)
		}
		if err == nil || errors.Is(err, io.EOF) { // any other error is reported once
			n, err = s.body.Read(s.buffer[:max(1, min(s.conn.reader.Buffered(), len(s.buffer)))])
		}
		s.mu.Lock()
		s.waited += time.Since(began)
		s.mu.Unlock()
		if errors.Is(err, io.EOF) && s.length >= 0 && s.got+int64(n) != s.length {
			err = io.ErrUnexpectedEOF // net/http reports a short body once, and a proper end after that
		}
		if err != nil {
			s.finish(err) // also with the last bytes, so that the connection is free early
		}
		if n > 0 {
			return s.buffer[:n], nil
		}
		if err != nil {
			return nil, s.endError()
		}
	}
}

// finish ends the stream after the end of the body or an error of reading it.
func (s *Stream) finish(err error) {
	if errors.Is(err, io.EOF) {
		s.end(io.EOF, nil)
		return
	}
	broken := !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(readError(err), errInvalidAnswer)
	if broken && s.heldUp >= slowReaderTime {
		cut := fmt.Errorf("server %s cut off its answer, of which bytes had waited %v for the caller: %w", s.server.ID, s.heldUp.Round(time.Millisecond), err)
		if s.end(cut, nil) {
			s.sender.pool.cutBySlowReaders.Inc(1)
		}
		return
	}
	failure := s.sender.failure(context.Background(), &Request{Server: s.server}, fmt.Errorf("read answer body: %w", readError(err)))
	s.end(failure, failure)
}

func (s *Stream) endError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// end ends the stream once and reports whether this call did. err is io.EOF for a complete body.
func (s *Stream) end(err error, failure *Failure) bool {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return false
	}
	s.ended, s.err, s.failure = true, err, failure
	observer, stop := s.observer, s.stop
	s.mu.Unlock()
	if stop != nil {
		stop()
	}
	switch {
	case !errors.Is(err, io.EOF):
		s.conn.reset()
	case s.reuse:
		s.sender.pool.put(s.server, s.conn)
	default:
		_ = s.conn.Close()
	}
	if observer != nil {
		observer(failure)
	}
	return true
}
