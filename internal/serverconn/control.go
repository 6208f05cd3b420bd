package serverconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"kumquatcleat/internal/registry"
)

// ControlCall is one control call at a server.
type ControlCall struct {
	Server *registry.Server
	Path   string
	Body   []byte
	// Session names the session to use, by an earlier answer; 0: any, also a new one.
	Session uint64
	// Dedicated keeps a call that may take long off the connections of sessions.
	Dedicated bool
	// Guard is asked right before the call is sent.
	Guard func() bool
}

// ControlAnswer is a server's answer to a control call.
type ControlAnswer struct {
	Status  int
	Header  http.Header
	Session uint64 // in which it came
}

// Call makes a control call. One that fails resets its connection, so that it
// can't arrive later.
func (s *Sender) Call(ctx context.Context, call ControlCall) (ControlAnswer, *Failure) {
	server := call.Server
	c, err := s.pool.control(ctx, call)
	if err != nil {
		return ControlAnswer{}, &Failure{Progress: NotSent, Refused: Refused(err), Err: fmt.Errorf("connect to server %s: %w", server.ID, err)}
	}
	var b bytes.Buffer
	b.WriteString("POST " + call.Path + " HTTP/1.1\r\nHost: " + server.Address + "\r\n")
	b.WriteString(s.dialect.TargetServer + ": " + server.ID + "\r\n")
	b.WriteString("Content-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(call.Body)) + "\r\n\r\n")
	b.Write(call.Body)
	if !call.Guard() {
		s.pool.put(server, c)
		return ControlAnswer{}, &Failure{Progress: NotSent, Err: errGuarded}
	}
	stop := context.AfterFunc(ctx, c.reset)
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	sent := time.Now()
	status, header, kept, err := c.call(b.Bytes())
	if err != nil {
		c.reset()
		return ControlAnswer{}, s.failure(ctx, &Request{Server: server}, err)
	}
	if kept && stop() && !call.Dedicated {
		s.pool.put(server, c)
	} else {
		c.reset()
	}
	if !call.Dedicated {
		s.pool.adopt(server, c, sent)
		s.pool.keepSpare(server)
	}
	return ControlAnswer{status, header, c.session}, nil
}

var errGuarded = errors.New("the right to send ended before the call was sent")

// call writes a control call and reads its answer.
func (c *conn) call(request []byte) (int, http.Header, bool, error) {
	if _, err := c.Write(request); err != nil {
		return 0, nil, false, err
	}
	resp, err := readFinal(c.reader, http.MethodPost)
	if err != nil {
		return 0, nil, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
		return 0, nil, false, err
	}
	c.idleMax = keepAlive(resp.Header)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return resp.StatusCode, resp.Header, framed && !resp.Close, nil
}
