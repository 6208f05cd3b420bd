package logging

import (
	"context"
	"log/slog"

	"github.com/rcrowley/go-metrics"

	"kumquatcleat/internal/ring"
)

// decisionRingLines holds about 100 ms of the lines of one process at full load.
const decisionRingLines = 8192

// Decision is one line of the decision log.
type Decision struct {
	Message string // begins with the prefix of its component, such as "routing: "
	Attrs   []slog.Attr
}

// Decisions writes the decision log from its own goroutine, so that logging does not
// block requests. When the ring is full, a line is dropped and counted in the metric
// decision_lines_dropped.
type Decisions struct {
	lines   *ring.Ring[Decision]
	dropped metrics.Counter
}

// NewDecisions returns a decision log that counts dropped lines in registry.
func NewDecisions(registry metrics.Registry) *Decisions {
	return &Decisions{
		lines:   ring.New[Decision](decisionRingLines),
		dropped: metrics.GetOrRegisterCounter("decision_lines_dropped", registry),
	}
}

// Log queues one line without blocking, or drops it if the ring is full.
func (d *Decisions) Log(message string, attrs ...slog.Attr) {
	if !d.lines.Offer(Decision{Message: message, Attrs: attrs}) {
		d.dropped.Inc(1)
	}
}

// Run writes lines until ctx is done, then writes the lines that are still queued.
func (d *Decisions) Run(ctx context.Context) {
	logger := slog.Default()
	for {
		select {
		case line := <-d.lines.Items():
			logger.LogAttrs(ctx, slog.LevelInfo, line.Message, line.Attrs...)
		case <-ctx.Done():
			d.drain(logger)
			return
		}
	}
}

func (d *Decisions) drain(logger *slog.Logger) {
	for {
		select {
		case line := <-d.lines.Items():
			logger.LogAttrs(context.Background(), slog.LevelInfo, line.Message, line.Attrs...)
		default:
			return
		}
	}
}
