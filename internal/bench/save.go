package bench

import (
	"fmt"
	"os"
	"path/filepath"
)

// SaveAll writes the history, the report and its plots into a directory.
func SaveAll(dir string, h *History, r *Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	if err := h.Save(dir); err != nil {
		return err
	}
	if err := saveJSON(filepath.Join(dir, fileReport), r); err != nil {
		return err
	}
	return savePlots(dir, h, r)
}
