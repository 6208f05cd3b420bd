// Package logging sets up log/slog for a process, redirects go-zero's log lines to it,
// and writes the decision log without blocking requests.
package logging

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
)

const (
	writerBufferBytes = 64 << 10
	flushInterval     = 200 * time.Millisecond // longest delay before a line reaches the log
)

// Setup makes slog's default logger write JSON lines of the given level and above to
// out, and redirects go-zero's lines there. The returned function flushes buffered
// lines.
func Setup(out io.Writer, level slog.Level) (flush func()) {
	buffered := &flushingWriter{out: bufio.NewWriterSize(out, writerBufferBytes)}
	go buffered.flushPeriodically()
	handler := slog.NewJSONHandler(buffered, &slog.HandlerOptions{Level: level})
	slog.SetDefault(slog.New(handler))
	RedirectGoZero()
	return buffered.flush
}

// RedirectGoZero redirects go-zero's lines to slog. Call it after creating a go-zero
// rest server, because its rest package installs its own writer then.
func RedirectGoZero() {
	logx.SetWriter(goZeroWriter{})
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		// Otherwise go-zero formats a line for each call that is then discarded.
		logx.SetLevel(logx.SevereLevel)
	}
}

// flushingWriter buffers lines and flushes them periodically. mu guards out.
type flushingWriter struct {
	mu  sync.Mutex
	out *bufio.Writer
}

// Write implements io.Writer.
func (w *flushingWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func (w *flushingWriter) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.out.Flush()
}

func (w *flushingWriter) flushPeriodically() {
	for range time.Tick(flushInterval) {
		w.flush()
	}
}

// goZeroWriter implements logx.Writer and forwards go-zero's lines to slog. Alert,
// Severe and Stack lines are errors. All others go to the debug level, because go-zero's
// lines repeat each call that the router logs itself.
type goZeroWriter struct{}

func (goZeroWriter) Alert(v any)                         { slog.Error("library: " + fmt.Sprint(v)) }
func (goZeroWriter) Close() error                        { return nil }
func (goZeroWriter) Debug(v any, _ ...logx.LogField)     { logDebug(v) }
func (goZeroWriter) Error(v any, _ ...logx.LogField)     { logDebug(v) }
func (goZeroWriter) Info(v any, _ ...logx.LogField)      { logDebug(v) }
func (goZeroWriter) Severe(v any)                        { slog.Error("library: " + fmt.Sprint(v)) }
func (goZeroWriter) Slow(v any, _ ...logx.LogField)      { logDebug(v) }
func (goZeroWriter) Stack(v any)                         { slog.Error("library: " + fmt.Sprint(v)) }
func (goZeroWriter) Stat(v any, fields ...logx.LogField) { logDebug(v) }

func logDebug(v any) {
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("library: " + fmt.Sprint(v))
	}
}
