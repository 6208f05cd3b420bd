package retry

import (
	"log/slog"
	"os"
	"testing"
)

// TestMain drops the log lines of the many seeded failures.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}
