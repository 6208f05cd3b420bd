package standin

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"

	"kumquatcleat/internal/platform"
)

// table holds the rows of the transactional table. The version of a row starts at 1
// and increases by 1 with each write.
type table struct {
	mu   sync.Mutex
	rows map[string]platform.Row
}

func newTable() *table { return &table{rows: map[string]platform.Row{}} }

func (t *table) get(key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (t *table) list(prefix string) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []platform.Row{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// commit applies all writes or none, and returns the new versions.
func (t *table) commit(writes []platform.Write) ([]uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := map[string]bool{}
	for _, write := range writes {
		if seen[write.Key] {
			return nil, errDuplicateKey
		}
		seen[write.Key] = true
		if t.rows[write.Key].Version != write.Expect {
			return nil, platform.ErrConflict
		}
	}
	versions := make([]uint64, 0, len(writes))
	for _, write := range writes {
		version := write.Expect + 1
		t.rows[write.Key] = platform.Row{Key: write.Key, Version: version, Value: write.Value}
		versions = append(versions, version)
	}
	return versions, nil
}

var errDuplicateKey = errors.New("standin: a transaction writes the same key twice")

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.table.get(r.URL.Query().Get("key"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, row)
}

func (p *Platform) listRows(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, p.table.list(r.URL.Query().Get("prefix")))
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var request platform.CommitRequest
	if err := decodeJSON(r, &request); err != nil {
		badRequest(w, err)
		return
	}
	versions, err := p.table.commit(request.Writes)
	switch {
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		badRequest(w, err)
	default:
		writeJSON(w, platform.CommitAnswer{Versions: versions})
	}
}
