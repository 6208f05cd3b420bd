package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store, as the users' page PROTOCOL describes it: rows
// with versions from one counter, conditional transactions, listings and a feed of changes. It
// is sound: it answers after 4 ms, a transaction after 10 ms.
type store struct {
	mu      sync.Mutex // guards the fields below
	ver     uint64
	rows    map[rowName]storedRow
	log     []change
	floor   uint64        // the log holds the changes after this version
	changed chan struct{} // closed and replaced at each transaction
	began   time.Time
}

type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type storedRow struct {
	value []byte
	ver   uint64
}

type change struct {
	name    rowName
	ver     uint64
	deleted bool
	at      time.Time
}

// wireRow is a row in an answer.
type wireRow struct {
	rowName
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type wireAnswer struct {
	Rows    []wireRow `json:"rows,omitempty"`
	HasMore bool      `json:"hasMore"`
	Ver     uint64    `json:"ver"`
	NowS    float64   `json:"nowS"`
}

const (
	answerDelay = 4 * time.Millisecond
	txDelay     = 10 * time.Millisecond
	history     = 20 * time.Second
)

// newStore returns an empty store whose next transaction has the version first.
func newStore(first uint64) *store {
	return &store{ver: first - 1, rows: map[rowName]storedRow{}, floor: first - 1, changed: make(chan struct{}), began: time.Now()}
}

// version returns the newest version.
func (s *store) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ver
}

// put writes a row without a condition, as the operator and the upstreams do. A nil value removes
// it. put returns the moment of the acknowledgement.
func (s *store) put(table, key string, value any) time.Time {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(rowName{Table: table, Key: key}, data)
	s.signal()
	return time.Now()
}

// set writes a row of the current transaction. The caller holds the lock.
func (s *store) set(name rowName, value []byte) {
	if value == nil {
		if _, ok := s.rows[name]; !ok {
			return
		}
		delete(s.rows, name)
	} else {
		s.rows[name] = storedRow{value, s.ver}
	}
	s.log = append(s.log, change{name, s.ver, value == nil, time.Now()})
}

// signal wakes the feeds and forgets old history. The caller holds the lock.
func (s *store) signal() {
	for len(s.log) > 0 && time.Since(s.log[0].at) > history {
		s.floor = s.log[0].ver
		s.log = s.log[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve answers calls that arrive at a listener. onFeed, if any, is called with the caller and the rows of each
// answer of the feed, just before it is sent.
func (s *store) serve(l net.Listener, onFeed func(caller, table string, rows []wireRow)) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transaction)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", func(w http.ResponseWriter, r *http.Request) { s.feed(w, r, onFeed) })
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	return server
}

func (s *store) answer(w http.ResponseWriter, status int, a wireAnswer) {
	a.NowS = time.Since(s.began).Seconds()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []struct {
			rowName
			Ver uint64 `json:"ver"`
		} `json:"expectedRevision"`
		Puts []struct {
			rowName
			Value []byte `json:"value"`
		} `json:"puts"`
		Remove []rowName `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		s.answer(w, http.StatusBadRequest, wireAnswer{})
		return
	}
	time.Sleep(txDelay)
	for _, p := range tx.Puts {
		if p.Table == "op" || p.Table == "servers" {
			s.answer(w, http.StatusForbidden, wireAnswer{})
			return
		}
	}
	s.mu.Lock()
	var current []wireRow
	met := true
	for _, e := range tx.Expected {
		row := s.rows[e.rowName]
		met = met && row.ver == e.Ver
		if row.ver != 0 {
			current = append(current, wireRow{rowName: e.rowName, Value: row.value, Ver: row.ver})
		}
	}
	if !met {
		ver := s.ver
		s.mu.Unlock()
		s.answer(w, http.StatusPreconditionFailed, wireAnswer{Rows: current, Ver: ver})
		return
	}
	s.ver++
	for _, p := range tx.Puts {
		s.set(p.rowName, append([]byte{}, p.Value...))
	}
	for _, name := range tx.Remove {
		s.set(name, nil)
	}
	s.signal()
	ver := s.ver
	s.mu.Unlock()
	s.answer(w, http.StatusOK, wireAnswer{Ver: ver})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	a := wireAnswer{Ver: s.ver}
	for name, row := range s.rows {
		if name.Table == q.Get("table") && name.Part == q.Get("part") && name.Key >= q.Get("from") && (q.Get("target") == "" || name.Key < q.Get("target")) {
			a.Rows = append(a.Rows, wireRow{rowName: name, Value: row.value, Ver: row.ver})
		}
	}
	s.mu.Unlock()
	sortRows(a.Rows, func(x, y wireRow) bool { return x.Key < y.Key })
	if len(a.Rows) > limit {
		a.Rows, a.HasMore = a.Rows[:limit], true
	}
	s.answer(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, onFeed func(string, string, []wireRow)) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, err2 := strconv.Atoi(q.Get("waitMs"))
	if err1 != nil || err2 != nil {
		s.answer(w, http.StatusBadRequest, wireAnswer{})
		return
	}
	timeout := time.After(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		a, gone, changed := s.changesAfter(q.Get("table"), after)
		s.mu.Unlock()
		switch {
		case gone:
			s.answer(w, http.StatusGone, wireAnswer{Ver: a.Ver})
			return
		case len(a.Rows) > 0 || !waiting:
			time.Sleep(answerDelay)
			if onFeed != nil {
				onFeed(r.RemoteAddr, q.Get("table"), a.Rows)
			}
			s.answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the rows of a table that changed after a version, each once as it is now.
// The caller holds the lock.
func (s *store) changesAfter(table string, after uint64) (a wireAnswer, gone bool, changed chan struct{}) {
	a.Ver = s.ver
	if after < s.floor || after > s.ver {
		return a, true, s.changed
	}
	last := map[rowName]change{}
	for _, c := range s.log {
		if c.ver > after && c.name.Table == table {
			last[c.name] = c
		}
	}
	for name, c := range last {
		a.Rows = append(a.Rows, wireRow{rowName: name, Value: s.rows[name].value, Ver: c.ver, Tombstone: c.deleted})
	}
	sortRows(a.Rows, func(x, y wireRow) bool { return x.Ver < y.Ver })
	return a, false, s.changed
}
