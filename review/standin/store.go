package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowName identifies a row of the store.
type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row as the store's protocol spells it.
type row struct {
	rowName
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type condition struct {
	rowName
	Ver uint64 `json:"ver"`
}

type put struct {
	rowName
	Value []byte `json:"value"`
}

type transaction struct {
	Conditions []condition `json:"expectedRevision"`
	Puts       []put       `json:"puts"`
	Remove     []rowName   `json:"remove"`
}

type page struct {
	Rows    []row   `json:"rows"`
	HasMore bool    `json:"hasMore"`
	Ver     uint64  `json:"ver"`
	NowS    float64 `json:"nowS"`
}

const (
	txTime    = 6 * time.Millisecond // txS of the settings
	storeTime = 4 * time.Millisecond // an answer of the store
)

// store is a stand-in of the platform's store: linearizable, loses nothing.
type store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[rowName]row
	log     []row
	version uint64
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowName]row{}, changed: make(chan struct{})}
}

// listen serves the store and returns its address.
func (s *store) listen(ip string) (string, error) { return s.listenFor(ip, nil) }

// listenFor serves the store to one machine, which sees the entries of upstreams as seen returns
// them; nil: as they are.
func (s *store) listenFor(ip string, seen func(value []byte) []byte) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.tx)
	see := func(w http.ResponseWriter) http.ResponseWriter { return seeing{w, seen} }
	mux.HandleFunc("GET /rows-get", func(w http.ResponseWriter, r *http.Request) { s.get(see(w), r) })
	mux.HandleFunc("GET /rows-feed", func(w http.ResponseWriter, r *http.Request) { s.feed(see(w), r) })
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String(), nil
}

// seeing is an answer to a machine that sees entries of upstreams in its own way.
type seeing struct {
	http.ResponseWriter
	seen func(value []byte) []byte
}

func (s *store) answer(w http.ResponseWriter, status int, p page) {
	p.NowS = time.Since(s.began).Seconds()
	if p.Rows == nil {
		p.Rows = []row{}
	}
	if v, ok := w.(seeing); ok && v.seen != nil {
		for i := range p.Rows {
			if p.Rows[i].Table == "servers" && !p.Rows[i].Tombstone {
				p.Rows[i].Value = v.seen(p.Rows[i].Value)
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		s.answer(w, http.StatusBadRequest, page{})
		return
	}
	for _, p := range tx.Puts {
		if p.Table == "op" || p.Table == "servers" {
			s.answer(w, http.StatusForbidden, page{})
			return
		}
	}
	time.Sleep(txTime)
	version, current, ok := s.apply(tx)
	if !ok {
		s.answer(w, http.StatusPreconditionFailed, page{Rows: current, Ver: version})
		return
	}
	s.answer(w, http.StatusOK, page{Ver: version})
}

// apply carries out a transaction, or none of it.
func (s *store) apply(tx transaction) (version uint64, current []row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, c := range tx.Conditions {
		if s.rows[c.rowName].Ver != c.Ver {
			ok = false
		}
		if r, exists := s.rows[c.rowName]; exists {
			current = append(current, r)
		}
	}
	if !ok {
		return s.version, current, false
	}
	s.version++
	for _, p := range tx.Puts {
		r := row{rowName: p.rowName, Value: p.Value, Ver: s.version}
		s.rows[p.rowName] = r
		s.log = append(s.log, r)
	}
	for _, name := range tx.Remove {
		if _, exists := s.rows[name]; exists {
			delete(s.rows, name)
			s.log = append(s.log, row{rowName: name, Ver: s.version, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil, true
}

// put writes a row of the operator or of an upstream.
func (s *store) put(table, key string, value []byte) {
	s.apply(transaction{Puts: []put{{rowName{Table: table, Key: key}, value}}})
}

func (s *store) remove(table, key string) {
	s.apply(transaction{Remove: []rowName{{Table: table, Key: key}}})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeTime)
	limit, _ := strconv.Atoi(r.FormValue("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	target := r.FormValue("target")
	s.mu.Lock()
	p := page{Ver: s.version}
	for name, row := range s.rows {
		if name.Table == r.FormValue("table") && name.Part == r.FormValue("part") && name.Key >= r.FormValue("from") && (target == "" || name.Key < target) {
			p.Rows = append(p.Rows, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(p.Rows, func(i, j int) bool { return p.Rows[i].Key < p.Rows[j].Key })
	if len(p.Rows) > limit {
		p.Rows, p.HasMore = p.Rows[:limit], true
	}
	s.answer(w, http.StatusOK, p)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("waitMs"))
	timer := time.NewTimer(time.Duration(min(ms, 30000)) * time.Millisecond)
	defer timer.Stop()
	time.Sleep(storeTime)
	for {
		s.mu.Lock()
		p, changed := page{Ver: s.version}, s.changed
		for _, row := range s.log {
			if row.Table == r.FormValue("table") && row.Ver > after {
				p.Rows = append(p.Rows, row)
			}
		}
		s.mu.Unlock()
		if len(p.Rows) > 0 {
			s.answer(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.answer(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}
