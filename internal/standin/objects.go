package standin

import (
	"io"
	"net/http"
	"sync"
)

// maxObjectBytes bounds the size of one object.
const maxObjectBytes = 64 << 20

type objects struct {
	mu   sync.Mutex
	data map[string][]byte
}

func newObjects() *objects { return &objects{data: map[string][]byte{}} }

func (o *objects) get(name string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[name]
	return data, ok
}

func (o *objects) put(name string, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[name] = data
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	data, ok := p.objects.get(r.PathValue("name"))
	if !ok {
		http.Error(w, "standin: no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		badRequest(w, err)
		return
	}
	p.objects.put(r.PathValue("name"), data)
	writeJSON(w, struct{}{})
}
