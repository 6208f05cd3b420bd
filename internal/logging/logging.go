// Package logging sets up log/slog for a process, brings go-zero's own log
// lines into it, and writes the decision log without holding requests up.
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
	flushInterval     = 200 * time.Millisecond // how late a line may reach the log
)

// Setup makes slog's default logger write JSON lines to out at a level, and
// sends go-zero's lines there. The returned function flushes what is buffered.
func Setup(out io.Writer, level slog.Level) (flush func()) {
	buffered := &flushingWriter{out: bufio.NewWriterSize(out, writerBufferBytes)}
	go buffered.flushForever()
	handler := slog.NewJSONHandler(buffered, &slog.HandlerOptions{Level: level})
	slog.SetDefault(slog.New(handler))
	CaptureLibrary()
	return buffered.flush
}

// CaptureLibrary sends go-zero's lines to slog. Its rest package installs a
// writer of its own whenever a server is made: call this after that.
func CaptureLibrary() {
	logx.SetWriter(libraryWriter{})
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		// Otherwise the library formats a line for each call, to be thrown away.
		logx.SetLevel(logx.SevereLevel)
	}
}

// flushingWriter buffers lines; mu guards out.
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

func (w *flushingWriter) flushForever() {
	for range time.Tick(flushInterval) {
		w.flush()
	}
}

// libraryWriter hands go-zero's lines to slog. Its informational lines repeat
// each call that the router logs itself, so they go to the debug level.
type libraryWriter struct{}

func (libraryWriter) Alert(v any)                         { slog.Error("library: " + fmt.Sprint(v)) }
func (libraryWriter) Close() error                        { return nil }
func (libraryWriter) Debug(v any, _ ...logx.LogField)     { debug(v) }
func (libraryWriter) Error(v any, _ ...logx.LogField)     { debug(v) }
func (libraryWriter) Info(v any, _ ...logx.LogField)      { debug(v) }
func (libraryWriter) Severe(v any)                        { slog.Error("library: " + fmt.Sprint(v)) }
func (libraryWriter) Slow(v any, _ ...logx.LogField)      { debug(v) }
func (libraryWriter) Stack(v any)                         { slog.Error("library: " + fmt.Sprint(v)) }
func (libraryWriter) Stat(v any, fields ...logx.LogField) { debug(v) }

func debug(v any) {
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("library: " + fmt.Sprint(v))
	}
}
