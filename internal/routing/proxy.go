package routing

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"kumquatcleat/internal/backend"
	"kumquatcleat/internal/fault"
)

// maxBufferedAnswerBytes is the largest answer that is read completely before the
// first byte goes to the caller. If such an answer is truncated, the request can
// be retried, or refused with its true outcome. Longer answers are streamed; if
// one is truncated, the connection to the caller is aborted.
const maxBufferedAnswerBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// proxyAnswer copies a server's answer to the caller.
func (f *forwarder) proxyAnswer(ctx context.Context, target Target, resp *http.Response) *fault.Error {
	if !hasDelimitedEnd(resp) {
		f.cancel(target)
		return fault.New(fault.ConnectionLost, "server %s sent an answer of unmarked length: a cut can't be told", target.Server.ID)
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	whole, n, err := readIfShort(resp, buffer[:])
	if err != nil {
		return f.sendError(ctx, target, maybeSent, fmt.Errorf("answer: %w", err))
	}
	f.writeAnswerHeader(target, resp)
	if whole {
		_, _ = f.writer.Write(buffer[:n])
		return nil
	}
	if err := f.stream(resp, buffer[:]); err != nil {
		f.cancel(target)
		return fault.Wrap(fault.AnswerCut, err, "the answer of server %s broke off", target.Server.ID)
	}
	copyTrailers(f.writer.Header(), resp.Trailer)
	return nil
}

// hasDelimitedEnd reports whether the framing of an answer shows truncation. The
// framing of an HTTP/1 answer that only the end of the connection terminates does
// not.
func hasDelimitedEnd(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.ProtoMajor > 1
}

// readIfShort reads an answer completely if its Content-Length is at most
// maxBufferedAnswerBytes. Otherwise it reads nothing and returns false.
func readIfShort(resp *http.Response, buffer []byte) (whole bool, n int, err error) {
	if resp.ContentLength < 0 || resp.ContentLength > maxBufferedAnswerBytes {
		return false, 0, nil
	}
	if resp.ContentLength == 0 || resp.Request.Method == http.MethodHead {
		return true, 0, nil
	}
	n, err = io.ReadFull(resp.Body, buffer[:resp.ContentLength])
	return true, n, err
}

func (f *forwarder) writeAnswerHeader(target Target, resp *http.Response) {
	header := f.writer.Header()
	copyAnswerHeader(header, resp.Header)
	if header.Get(backend.HeaderServer) == "" {
		header.Set(backend.HeaderServer, target.Server.ID)
	}
	header.Set(backend.HeaderRequestID, f.call.requestID)
	for name := range resp.Trailer {
		header.Add("Trailer", name)
	}
	f.writer.WriteHeader(resp.StatusCode)
}

// stream copies the body. An answer of unknown length is flushed after each read.
func (f *forwarder) stream(resp *http.Response, buffer []byte) error {
	controller := http.NewResponseController(f.writer)
	for {
		n, readErr := resp.Body.Read(buffer)
		if n > 0 {
			if _, err := f.writer.Write(buffer[:n]); err != nil {
				return err
			}
			if resp.ContentLength < 0 {
				_ = controller.Flush()
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

func copyTrailers(out, trailers http.Header) {
	for name, values := range trailers {
		out[name] = values
	}
}
