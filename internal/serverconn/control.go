package serverconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"kumquatcleat/internal/registry"
)

// ControlCall is a control call to a server.
type ControlCall struct {
	Server *registry.Server
	Path   string
	Body   []byte
	// Session is the session to use, from an earlier answer; 0 allows any or a new one.
	Session uint64
	// Dedicated uses a separate connection, so that a call that may take long does not
	// block the connections of sessions.
	Dedicated bool
	// Guard is called right before the call is sent; false prevents it.
	Guard func() bool
}

// ControlAnswer is a server's answer to a control call.
type ControlAnswer struct {
	Status  int
	Header  http.Header
	Session uint64 // session of the connection that carried the answer
}

// Call makes a control call. If it fails, its connection is reset, so that the call
// can't arrive later.
func (s *Sender) Call(ctx context.Context, call ControlCall) (ControlAnswer, *Failure) {
	server := call.Server
	c, err := s.pool.controlConn(ctx, call)
	if err != nil {
		return ControlAnswer{}, &Failure{Progress: NotSent, Refused: Refused(err), Err: fmt.Errorf("connect to server %s: %w", server.ID, err)}
	}
	var b bytes.Buffer
	b.WriteString("POST " + call.Path + " HTTP/1.1\r\nHost: " + server.Address + "\r\n")
	b.WriteString(s.dialect.TargetServer + ": " + server.ID + "\r\n")
	id := uuid.NewString()
	b.WriteString(s.dialect.RequestID + ": " + id + "\r\n")
	b.WriteString("Content-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(call.Body)) + "\r\n\r\n")
	b.Write(call.Body)
	if !call.Guard() {
		s.pool.put(server, c)
		return ControlAnswer{}, &Failure{Progress: NotSent, Err: errGuardRefused}
	}
	stop := context.AfterFunc(ctx, c.reset)
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	sentAt := time.Now()
	status, header, reusable, err := s.controlRoundTrip(c, id, b.Bytes())
	if err != nil {
		c.reset()
		return ControlAnswer{}, s.failure(ctx, &Request{Server: server}, err)
	}
	if reusable && stop() && !call.Dedicated {
		s.pool.put(server, c)
	} else {
		c.reset()
	}
	if !call.Dedicated {
		s.pool.joinSession(server, c, sentAt)
		s.pool.ensureSpare(server)
	}
	return ControlAnswer{status, header, c.session}, nil
}

var errGuardRefused = errors.New("control call not sent: its guard returned false")

// controlRoundTrip writes a control call and reads its answer. Late copies of answers to
// earlier calls are skipped; servers that do not echo the ID are taken at their word.
func (s *Sender) controlRoundTrip(c *conn, id string, request []byte) (int, http.Header, bool, error) {
	if _, err := c.Write(request); err != nil {
		return 0, nil, false, err
	}
	for skipped := range maxSkippedAnswers + 1 {
		resp, err := c.readFinal(http.MethodPost)
		if err != nil {
			return 0, nil, false, err
		}
		if err := discard(resp.Body); err != nil {
			return 0, nil, false, err
		}
		if echoed := resp.Header.Get(s.dialect.RequestID); echoed != "" && echoed != id {
			continue
		}
		c.idleTimeout = idleTimeout(resp.Header)
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		return resp.StatusCode, resp.Header, framed && !resp.Close && skipped == 0, nil
	}
	return 0, nil, false, fmt.Errorf("%w: more than %d answers to other requests", errInvalidAnswer, maxSkippedAnswers)
}
