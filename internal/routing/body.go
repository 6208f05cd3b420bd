package routing

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// maxReplayBytes is the largest request body that is buffered so that it can be
// sent again. Memory use is up to this size times the requests in flight.
const maxReplayBytes = 64 << 10

var errBodyOverLimit = errors.New("the body passed the limit of its service")

// callerBody is a caller's request body: buffered when small, streamed otherwise.
// A streamed body can be sent only while nothing has been read from it.
type callerBody struct {
	buffered   []byte
	stream     io.ReadCloser // nil: buffered holds the whole body
	limit      int64
	length     int64 // -1: unknown
	started    atomic.Bool
	readFailed atomic.Bool // a read from the caller failed
	overLimit  atomic.Bool
}

// readCallerBody buffers a small body and prepares a large one for streaming.
func readCallerBody(r *http.Request, limit int64) (*callerBody, error) {
	body := &callerBody{limit: limit, length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		body.length = 0
		return body, nil
	}
	if r.ContentLength > limit {
		return nil, errBodyOverLimit
	}
	if r.ContentLength < 0 || r.ContentLength > maxReplayBytes {
		body.stream = r.Body
		return body, nil
	}
	buffered := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, buffered); err != nil {
		return nil, err
	}
	body.buffered = buffered
	return body, nil
}

// replayable reports whether the body can be sent from its start.
func (b *callerBody) replayable() bool { return b.stream == nil || !b.started.Load() }

// open returns a reader for one attempt. It is never http.NoBody, so that
// net/http does not treat the request as replayable.
func (b *callerBody) open() io.ReadCloser {
	if b.stream == nil {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return &streamReader{body: b}
}

// streamReader reads the caller's stream and enforces the limit on the bytes
// received. Close leaves the stream open: the HTTP server closes it.
type streamReader struct {
	body *callerBody
	read int64
}

// Read implements io.Reader.
func (s *streamReader) Read(p []byte) (int, error) {
	s.body.started.Store(true)
	n, err := s.body.stream.Read(p)
	s.read += int64(n)
	if s.read > s.body.limit {
		s.body.overLimit.Store(true)
		return 0, errBodyOverLimit
	}
	if err != nil && err != io.EOF {
		s.body.readFailed.Store(true)
	}
	return n, err
}

// Close implements io.Closer.
func (s *streamReader) Close() error { return nil }
