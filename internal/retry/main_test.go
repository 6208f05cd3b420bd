package retry

import (
	"log/slog"
	"os"
	"testing"
)

// TestMain discards the log output of the many injected faults.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}
