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
	mu        sync.Mutex      // guards the fields below
	written   int             // bytes that the kernel accepted
	writtenAt time.Time       // when it accepted the last ones
	begun     int             // bytes of all answers of which the writing has begun
	answers   []writtenAnswer // the last ones
	reported  bool
}

// writtenAnswer is an answer and the number of bytes of all answers up to its end.
type writtenAnswer struct {
	request string
	end     int
}

// begin records that the writing of an answer of so many bytes begins.
func (d *delivery) begin(request string, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.answers) == maxTrackedAnswers {
		d.answers = slices.Delete(d.answers, 0, 1)
	}
	d.begun += size
	// The ID shares its memory with the whole head of the request.
	d.answers = append(d.answers, writtenAnswer{strings.Clone(request), d.begun})
}

// extend records that the answer that is being written has more bytes than it began with.
func (d *delivery) extend(size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.begun += size
	d.answers[len(d.answers)-1].end += size
}

// wrote records that the kernel accepted so many bytes.
func (d *delivery) wrote(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n == 0 {
		return
	}
	d.written += n
	d.writtenAt = time.Now()
}

// lastWrite returns when the kernel accepted bytes last, zero if it never did.
func (d *delivery) lastWrite() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.writtenAt
}

// undelivered returns the requests whose answers are not written as a whole, or not acknowledged
// if that many bytes are not. Later calls return none.
func (d *delivery) undelivered(unacknowledged int) (requests []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reported {
		return nil
	}
	for _, a := range d.answers {
		if a.end > d.written-unacknowledged {
			requests = append(requests, a.request)
		}
	}
	d.reported = len(requests) > 0
	return requests
}

// unacknowledged returns how many bytes of answers the caller's host has not acknowledged.
func (c *callerConn) unacknowledged() int {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	n := linger.Unacknowledged(tcp)
	if n <= 1 { // not known, or only the FIN
		return 0
	}
	return n
}

// reportUndelivered logs the answers that are lost because the connection ends now, if any, and
// how many requests have no answer that was written as a whole.
func (c *callerConn) reportUndelivered(unacknowledged int, cause error) {
	requests, notWritten := c.delivery.undelivered(unacknowledged), int(c.unanswered.Load())
	if len(requests) == 0 && notWritten == 0 {
		return
	}
	c.server.undelivered.Inc(int64(len(requests)))
	c.server.decisions.Log("entry: answers not delivered",
		slog.String("from", c.RemoteAddr().String()), slog.String("cause", cause.Error()), slog.Int("unacknowledged_bytes", unacknowledged),
		slog.Int("answers", len(requests)), slog.Any("requests", requests), slog.Int("not_written", notWritten),
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
