package logging

import (
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	flushInterval = 200 * time.Millisecond // longest delay before a line is written
	// flushBytes is how many bytes of lines are written without waiting for flushInterval.
	flushBytes = 64 << 10
	// maxPendingBytes bounds the lines that wait for a reader of the log that does not keep up:
	// some seconds of the lines of one process at full load. Beyond it, lines are dropped.
	maxPendingBytes = 1 << 20
	// flushTimeout bounds the wait for the last lines when the process exits.
	flushTimeout = 100 * time.Millisecond
)

// asyncWriter writes lines from its own goroutine, so that no caller of Write waits for the
// reader of the log. Lines that the reader does not take in time are dropped and counted.
type asyncWriter struct {
	out     io.Writer
	wake    chan struct{}      // signals flushBytes of pending lines
	flushes chan chan struct{} // requests to flush, each closed when done

	mu      sync.Mutex // guards the fields below
	pending []byte
	dropped int // lines since the last write
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{out: out, wake: make(chan struct{}, 1), flushes: make(chan chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It takes one line and never blocks.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	if len(w.pending) >= flushBytes {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

func (w *asyncWriter) run() {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var lines []byte // reused
	for {
		var done chan struct{}
		select {
		case <-ticker.C:
		case <-w.wake:
		case done = <-w.flushes:
		}
		var dropped int
		lines, dropped = w.take(lines[:0])
		if len(lines) > 0 {
			_, _ = w.out.Write(lines) // an error could only be logged
		}
		if dropped > 0 {
			slog.Warn("logging: lines dropped, the reader of the log did not keep up", "lines", dropped)
		}
		if done != nil {
			close(done)
		}
	}
}

// take replaces the pending lines by an empty buffer and returns them, and how many lines were
// dropped.
func (w *asyncWriter) take(empty []byte) (lines []byte, dropped int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines, dropped = w.pending, w.dropped
	w.pending, w.dropped = empty, 0
	return lines, dropped
}

// flush writes the pending lines, as far as the reader takes them within flushTimeout.
func (w *asyncWriter) flush() {
	timeout := time.After(flushTimeout)
	done := make(chan struct{})
	select {
	case w.flushes <- done:
	case <-timeout:
		return
	}
	select {
	case <-done:
	case <-timeout:
	}
}
