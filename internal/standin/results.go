package standin

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

// resultStore runs each request id once: a duplicate waits for the first copy and
// gets its stored answer. When full, it evicts the least recently used ids.
type resultStore struct {
	mu      sync.Mutex
	entries *lru.Cache[string, *storedResult]
}

type storedResult struct {
	done   chan struct{} // closed once answer is set
	answer answer
}

func newResultStore(size int) *resultStore {
	entries, err := lru.New[string, *storedResult](size)
	if err != nil {
		panic("standin: result store: " + err.Error()) // only for a size below 1
	}
	return &resultStore{entries: entries}
}

// once returns the answer of the first request with this id, calling execute if this
// is the first. If the request does not start, its id is removed, so that a later
// copy can run.
func (s *resultStore) once(id string, execute func() answer) answer {
	s.mu.Lock()
	entry, known := s.entries.Get(id)
	if !known {
		entry = &storedResult{done: make(chan struct{})}
		s.entries.Add(id, entry)
	}
	s.mu.Unlock()
	if known {
		<-entry.done
		return entry.answer
	}
	entry.answer = execute()
	if entry.answer.notStarted != "" {
		s.mu.Lock()
		s.entries.Remove(id)
		s.mu.Unlock()
	}
	close(entry.done)
	return entry.answer
}
