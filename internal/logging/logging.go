// Package logging sets up log/slog for a process, redirects go-zero's log lines to it,
// and writes the decision log without blocking requests.
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/zeromicro/go-zero/core/logx"
)

// Setup makes slog's default logger write JSON lines of the given level and above to
// out, and redirects go-zero's lines there. Logging never waits for the reader of out. The
// returned function flushes pending lines.
func Setup(out io.Writer, level slog.Level) (flush func()) {
	writer := newAsyncWriter(out)
	handler := slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level})
	slog.SetDefault(slog.New(handler))
	RedirectGoZero()
	return writer.flush
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
