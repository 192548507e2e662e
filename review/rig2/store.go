package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store, as far as the router uses it.
type store struct {
	address string
	began   time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]storeRow
	changed chan struct{}
}

// storeRow is a row as the store's answers hold it.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

type storePage struct {
	Rows    []storeRow `json:"rows,omitempty"`
	More    bool       `json:"has_more"`
	Version uint64     `json:"ver"`
	Clock   int64      `json:"now_ms"`
}

func (r *rig) startStore() error {
	l, err := net.Listen("tcp", r.prefix+"2:0")
	if err != nil {
		return err
	}
	s := &store{
		address: l.Addr().String(),
		began:   time.Now(),
		rows:    make(map[string]storeRow),
		changed: make(chan struct{}),
	}
	r.store = s
	server := &http.Server{Handler: s}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(l) })
	r.closers = append(r.closers, func() { _ = server.Close() })
	return nil
}

// put writes a row.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.putLocked(storeRow{Table: table, Key: key, Value: value})
	s.wake()
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.putLocked(storeRow{Table: table, Key: key, Deleted: true})
	s.wake()
}

func (s *store) putLocked(row storeRow) {
	row.Version = s.version
	s.rows[row.Table+"\x00"+row.Part+"\x00"+row.Key] = row
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, p storePage) {
	p.Clock = time.Since(s.began).Milliseconds() + 1000
	if p.Version == 0 {
		p.Version = s.version
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, r)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.transact(w, r)
	default:
		http.NotFound(w, r)
	}
}

// pageRows is how many rows an answer has at most.
const pageRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var p storePage
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && !row.Deleted && row.Key >= q.Get("from") {
			p.Rows = append(p.Rows, row)
		}
	}
	slices.SortFunc(p.Rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Rows) > pageRows {
		p.Rows, p.More = p.Rows[:pageRows], true
	}
	s.answer(w, http.StatusOK, p)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	late := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for last := wait == 0; ; {
		s.mu.Lock()
		var p storePage
		for _, row := range s.rows {
			if row.Table == q.Get("table") && row.Version > after {
				p.Rows = append(p.Rows, row)
			}
		}
		changed := s.changed
		if len(p.Rows) > 0 || last {
			slices.SortFunc(p.Rows, func(a, b storeRow) int { return int(a.Version) - int(b.Version) })
			s.answer(w, http.StatusOK, p)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-late:
			last = true
		case <-changed:
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []storeRow `json:"precondition"`
		Puts       []storeRow `json:"puts"`
		Remove     []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		row := s.rows[c.Table+"\x00"+c.Part+"\x00"+c.Key]
		if row.Deleted {
			row = storeRow{}
		}
		if row.Version != c.Version {
			row.Table, row.Part, row.Key = c.Table, c.Part, c.Key
			s.answer(w, http.StatusPreconditionFailed, storePage{Rows: []storeRow{row}})
			return
		}
	}
	s.version++
	for _, row := range t.Puts {
		row.Deleted = false
		s.putLocked(row)
	}
	for _, row := range t.Remove {
		row.Deleted, row.Value = true, nil
		s.putLocked(row)
	}
	s.wake()
	s.answer(w, http.StatusOK, storePage{})
}

// The names of the configuration.
const (
	host      = "ficu95.example"
	sheetPath = "/cufi504/"
	draftPath = "/lohu930/"
	plainName = "wuno96b"
	modelName = "huvo11a"
	apiKey    = "n2ctnfzs989anu6wsjnb"
	otherKey  = "anfqasnmgkcuyj8pjbvk"
)

// putConfiguration writes a configuration like that of the small deployment: an idempotent
// route to a plain service, a streaming one to the same, and a streaming one to a model service.
func (s *store) putConfiguration() {
	s.put("op", "config", marshal(map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "r-sheet", "host": host, "prefix": sheetPath, "kind": "idempotent", "timeout_ms": 800,
				"goal_ms": 150, "priority": 2, "service": plainName, "attempts": 2, "public": false},
			map[string]any{"name": "r-live", "host": host, "prefix": livePath, "kind": "streaming", "timeout_ms": 20000,
				"goal_ms": 500, "priority": 1, "service": plainName, "attempts": 2, "public": false, "resumable": true, "gap_aim_ms": 200},
			map[string]any{"name": "r-draft", "host": host, "prefix": draftPath, "kind": "streaming", "timeout_ms": 20000,
				"goal_ms": 500, "priority": 0, "service": modelName, "attempts": 2, "public": false, "sticky": true,
				"resumable": true, "gap_aim_ms": 200},
		},
		"services": []any{
			map[string]any{"name": plainName, "health_path": "/health", "max_conns": 52, "protocol": "h1", "tls": false},
			map[string]any{"name": modelName, "health_path": "/health", "max_conns": 1048, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 192, "kv_tokens": 100000, "kv_bytes": 918000, "link_mbps": 400000.0, "stride": 3,
					"models":  []any{map[string]any{"name": "daka510000", "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}},
					"step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 105000.0, "pairs_per_m": 0.309,
					"chunk": 512, "report_lag_ms": 200.0, "loads_at_once": 5, "usual": map[string]any{"prompt": 774, "answer": 203},
					"layers": 80, "layer_mb": 1750.0, "act_bytes": 45900, "pipe_mbps": 18000.0,
					"kinds": []any{map[string]any{"name": "h8", "mb": 288000.0, "pace": 2.4, "read_x": 3.2}},
				}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": bodyLimit, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "hule930", "api_keys": []any{apiKey}, "priority": 1},
			map[string]any{"name": "toba114", "api_keys": []any{otherKey}, "priority": 1},
		},
	}))
}

// bodyLimit is the limit of a body that the configuration sets, in bytes.
const bodyLimit = 4194304
