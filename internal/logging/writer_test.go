package logging

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// stalledReader is the reader of a log that takes nothing until it is released.
type stalledReader struct {
	released chan struct{}
	mu       sync.Mutex // guards read
	read     bytes.Buffer
}

func (r *stalledReader) Write(p []byte) (int, error) {
	<-r.released
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read.Write(p)
}

func (r *stalledReader) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read.String()
}

// setup installs the logging of a process and restores the previous one after the test.
func setup(t *testing.T, out io.Writer) (flush func()) {
	t.Helper()
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous) })
	return Setup(out, slog.LevelInfo)
}

// Guards against callers that wait for the reader of the log: the process would stop serving.
func TestLoggingDoesNotWaitForReader(t *testing.T) {
	out := &stalledReader{released: make(chan struct{})}
	flush := setup(t, out)
	const lines = 3 * maxPendingBytes / 1000
	line := strings.Repeat("x", 1000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			slog.Info(line)
		}
		flush()
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging waits for the reader")
	}
	close(out.released)
	for deadline := time.Now().Add(10 * time.Second); !strings.Contains(out.text(), "lines dropped"); {
		if time.Now().After(deadline) {
			t.Fatal("the log does not tell that lines were dropped")
		}
		time.Sleep(10 * time.Millisecond)
	}
	if n := len(out.text()); n > 2*maxPendingBytes+maxPendingBytes/2 {
		t.Errorf("got %d bytes after the reader stood still, want at most about two times %d", n, maxPendingBytes)
	}
}

// Guards against last lines that are lost when the process exits.
func TestFlushWritesPendingLines(t *testing.T) {
	out := &stalledReader{released: make(chan struct{})}
	close(out.released)
	flush := setup(t, out)
	slog.LogAttrs(context.Background(), slog.LevelInfo, "last line")
	flush()
	if !strings.Contains(out.text(), "last line") {
		t.Errorf("got log %q, want the last line", out.text())
	}
}
