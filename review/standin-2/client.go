package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// recorder writes record.txt: what was sent, answered and run.
type recorder struct {
	began time.Time

	mu   sync.Mutex // guards the fields below
	file *os.File
	sent map[string]*sending // by request ID
	runs []execution
	// highest and holder are, by key, the highest fence of a grant that was taken and who took it.
	highest  [65536]uint64
	holder   [65536]*upstream
	lowFence int // grants that were taken with a fence that isn't above another upstream's
}

// granted records a grant that an upstream took.
func (r *recorder) granted(u *upstream, from, to uint32, fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	low := uint64(0)
	for key := from; key <= to; key++ {
		if r.holder[key] != nil && r.holder[key] != u && fence <= r.highest[key] {
			low = max(low, r.highest[key])
		}
		if fence > r.highest[key] {
			r.highest[key], r.holder[key] = fence, u
		}
	}
	if low > 0 {
		r.lowFence++
		r.line(time.Now(), "grant    %s takes keys %d to %d with fence %d; another upstream had fence %d", u.id, from, to, fence, low)
	}
}

// sending is one request of a client.
type sending struct {
	id, class string
	gateway   string
	at        time.Time
	status    int // 0: none
	answered  time.Time
	err       string
}

// execution is one start of a request at an upstream.
type execution struct {
	id       string
	upstream *upstream
	at       time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file, sent: map[string]*sending{}}, nil
}

// note writes a line.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(time.Now(), format, args...)
}

func (r *recorder) line(at time.Time, format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) ran(id string, u *upstream, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.runs = append(r.runs, execution{id, u, now})
	r.line(now, "run      %s at %s of %s, body %d bytes", id, u.id, u.service, bytes)
}

func (r *recorder) sending(id, class, gateway string) *sending {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &sending{id: id, class: class, gateway: gateway, at: time.Now()}
	r.sent[id] = s
	r.line(s.at, "sent     %s %s to %s", id, class, gateway)
	return s
}

func (r *recorder) answer(s *sending, status int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.status, s.answered = status, time.Now()
	if err != nil {
		s.err = err.Error()
	}
	r.line(s.answered, "answered %s status %d after %d ms %s", s.id, status, s.answered.Sub(s.at).Milliseconds(), s.err)
}

// class is one kind of request.
type class struct {
	name, method, host, path string
	deadline                 time.Duration
	keyed                    bool
	body                     int
}

var requestCount atomic.Uint64

// load sends requests of a class to a gateway at a rate until ctx ends. Each has a connection of
// its own.
func (r *recorder) load(ctx context.Context, g *gateway, c class, perS float64, done *sync.WaitGroup) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perS))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			done.Go(func() { r.request(g, c) })
		}
	}
}

// request sends one request and records its answer.
func (r *recorder) request(g *gateway, c class) {
	n := requestCount.Add(1)
	id := fmt.Sprintf("r%015x", n)
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline+500*time.Millisecond)
	defer cancel()
	var body io.Reader
	if c.body > 0 {
		body = &zeros{left: c.body}
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+g.front+c.path+strconv.FormatUint(n, 16), body)
	if err != nil {
		return
	}
	req.ContentLength = int64(c.body)
	req.Host = c.host
	req.Header.Set("X-Kumquatcleat-Request-Id", id)
	req.Header.Set("X-Kumquatcleat-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.keyed {
		req.Header.Set("X-Kumquatcleat-Shard-Key", strconv.FormatUint(n*7919%65536, 10))
	}
	s := r.sending(id, c.name, g.name)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		r.answer(s, 0, err)
		return
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		r.answer(s, 0, err)
		return
	}
	r.answer(s, resp.StatusCode, nil)
}

// zeros is a body of zero bytes.
type zeros struct{ left int }

func (z *zeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), z.left)
	clear(p[:n])
	z.left -= n
	return n, nil
}

func sortRows(list []wireRow, less func(a, b wireRow) bool) {
	sort.Slice(list, func(i, j int) bool { return less(list[i], list[j]) })
}

// tally counts the answers to requests of a class that were sent in a span of time.
func (r *recorder) tally(class string, from, to time.Time) (all, good, unclear int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sent {
		if s.class != class || s.at.Before(from) || s.at.After(to) {
			continue
		}
		all++
		switch {
		case s.status/100 == 2:
			good++
		case s.status == 0 || s.status == 502 || s.status == 504:
			unclear++
		}
	}
	return all, good, unclear
}
