package entry

import (
	"errors"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"kumquatcleat/internal/linger"
)

// maxTrackedAnswers bounds the answers that a connection remembers.
const maxTrackedAnswers = 16

// delivery tracks which answers of a connection its caller's host has not acknowledged, for the
// logs.
type delivery struct {
	mu       sync.Mutex      // guards the fields below
	written  int             // bytes that the kernel accepted
	answers  []writtenAnswer // the last ones
	reported bool
}

// writtenAnswer is an answer and the number of bytes written to the connection up to its end.
type writtenAnswer struct {
	request string
	end     int
}

// add records that n of the size bytes of an answer were written.
func (d *delivery) add(request string, n, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.answers) == maxTrackedAnswers {
		d.answers = slices.Delete(d.answers, 0, 1)
	}
	// The ID shares its memory with the whole head of the request.
	d.answers = append(d.answers, writtenAnswer{strings.Clone(request), d.written + size})
	d.written += n
}

// undelivered returns the requests whose answers are not acknowledged as a whole if that many bytes
// are not. Later calls return none.
func (d *delivery) undelivered(unacknowledged int) (requests []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reported {
		return nil
	}
	d.reported = true
	for _, a := range d.answers {
		if a.end > d.written-unacknowledged {
			requests = append(requests, a.request)
		}
	}
	return requests
}

// unacknowledged returns how many bytes of answers the caller's host has not acknowledged.
func (c *callerConn) unacknowledged() int {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return linger.Unacknowledged(tcp)
	}
	return 0
}

// reportUndelivered logs the answers that are lost because the connection ends now, if any.
func (c *callerConn) reportUndelivered(unacknowledged int, cause error) {
	requests := c.delivery.undelivered(unacknowledged)
	if len(requests) == 0 {
		return
	}
	c.server.undelivered.Inc(int64(len(requests)))
	c.server.decisions.Log("entry: answers not delivered",
		slog.String("from", c.RemoteAddr().String()), slog.String("cause", cause.Error()), slog.Int("unacknowledged_bytes", unacknowledged),
		slog.Int("answers", len(requests)), slog.Any("requests", requests),
		slog.Int64("connection_age_ms", time.Since(c.accepted).Milliseconds()))
}

var errProcessEnds = errors.New("the process ends")

// ReportUndelivered logs, for each open connection, the answers that are lost if the process ends now.
func (s *Server) ReportUndelivered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.reportUndelivered(c.unacknowledged(), errProcessEnds)
	}
}
