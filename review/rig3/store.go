package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the platform's store.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	Tomb  bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store, held in memory.
type store struct {
	address string
	began   time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[string]map[string]row
	changed chan struct{}
	// down makes each call answer 503.
	down bool
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(),
		began:   time.Now(),
		rows:    make(map[string]map[string]row),
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(4 * time.Millisecond)
		mux.ServeHTTP(w, r)
	})}
	background.Go(func() { _ = server.Serve(l) })
	return s, nil
}

// put writes a row as the operator or a runner does, and returns its version.
func (s *store) put(table, key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Value: data, Ver: s.ver})
	return s.ver
}

// remove removes a row, and returns the version of the removal.
func (s *store) remove(table, key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: table, Key: key, Ver: s.ver, Tomb: true})
	return s.ver
}

// write writes a row; the caller holds the lock.
func (s *store) write(r row) {
	if s.rows[r.Table] == nil {
		s.rows[r.Table] = make(map[string]row)
	}
	s.rows[r.Table][r.Part+"\x00"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// reply is the body of an answer.
type reply struct {
	Rows []row  `json:"rows"`
	More bool   `json:"has_more"`
	Ver  uint64 `json:"ver"`
	Now  int64  `json:"now_ms"`
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply{Rows: rows, Ver: s.ver, Now: time.Since(s.began).Milliseconds() + 1})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, v := range s.rows[q.Get("table")] {
		if v.Tomb || v.Part != q.Get("part") || v.Key < q.Get("from") {
			continue
		}
		rows = append(rows, v)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		s.mu.Lock()
		var rows []row
		for _, v := range s.rows[q.Get("table")] {
			if v.Ver > after {
				rows = append(rows, v)
			}
		}
		if len(rows) > 0 || last {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []row `json:"precondition"`
		Puts         []row `json:"puts"`
		Remove       []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	met := true
	for _, c := range t.Precondition {
		have := s.rows[c.Table][c.Part+"\x00"+c.Key]
		ver := have.Ver
		if have.Tomb {
			ver = 0
		}
		met = met && ver == c.Ver
		current = append(current, have)
	}
	if !met {
		s.answer(w, http.StatusPreconditionFailed, current)
		return
	}
	s.ver++
	for _, p := range t.Puts {
		p.Ver = s.ver
		s.write(p)
	}
	for _, p := range t.Remove {
		s.write(row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Tomb: true})
	}
	s.answer(w, http.StatusOK, nil)
}

// beat is a runner's entry.
type beat struct {
	Service string         `json:"service"`
	Address string         `json:"address"`
	Zone    string         `json:"zone"`
	Version string         `json:"version"`
	Slots   int            `json:"slots"`
	State   string         `json:"state"`
	ColdMS  int            `json:"cold_left_ms"`
	Seq     int            `json:"seq"`
	Born    int64          `json:"born"`
	Kind    string         `json:"kind,omitempty"`
	Layers  map[string]int `json:"layers,omitempty"`
}

func tenantKey(i int) string { return fmt.Sprintf("key-of-tenant-%d", i) }

// setDown makes the store answer 503 to each call, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}
