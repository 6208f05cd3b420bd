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

// maxBufferedAnswerBytes bounds the answers that are read to their end before the
// first byte goes to the caller: a cut one then becomes a truthful refusal or
// another attempt. Longer answers stream, and a cut aborts the connection.
const maxBufferedAnswerBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// proxyAnswer copies a server's answer to the caller.
func (r *forwarder) proxyAnswer(ctx context.Context, target Target, resp *http.Response) *fault.Error {
	if !hasDelimitedEnd(resp) {
		r.cancel(target)
		return fault.New(fault.ConnectionLost, "server %s sent an answer of unmarked length: a cut can't be told", target.Server.ID)
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	whole, n, err := readIfShort(resp, buffer[:])
	if err != nil {
		return r.sendError(ctx, target, maybeSent, fmt.Errorf("answer: %w", err))
	}
	r.writeAnswerHeader(target, resp)
	if whole {
		_, _ = r.writer.Write(buffer[:n])
		return nil
	}
	if err := r.stream(resp, buffer[:]); err != nil {
		r.cancel(target)
		return fault.Wrap(fault.AnswerCut, err, "the answer of server %s broke off", target.Server.ID)
	}
	copyTrailers(r.writer.Header(), resp.Trailer)
	return nil
}

// hasDelimitedEnd reports whether a cut answer can be told from a whole one.
func hasDelimitedEnd(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.ProtoMajor > 1
}

// readIfShort reads an answer of small stated length to its end.
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

func (r *forwarder) writeAnswerHeader(target Target, resp *http.Response) {
	header := r.writer.Header()
	copyAnswerHeader(header, resp.Header)
	if header.Get(backend.HeaderServer) == "" {
		header.Set(backend.HeaderServer, target.Server.ID)
	}
	header.Set(backend.HeaderRequestID, r.call.requestID)
	for name := range resp.Trailer {
		header.Add("Trailer", name)
	}
	r.writer.WriteHeader(resp.StatusCode)
}

// stream copies the body and passes each piece on at once.
func (r *forwarder) stream(resp *http.Response, buffer []byte) error {
	controller := http.NewResponseController(r.writer)
	for {
		n, readErr := resp.Body.Read(buffer)
		if n > 0 {
			if _, err := r.writer.Write(buffer[:n]); err != nil {
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
