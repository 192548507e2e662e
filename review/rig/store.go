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

// row is one row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's metadata store. It loses nothing and answers at
// once.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[rowKey]row
	changed chan struct{}
}

func newStore(g *sync.WaitGroup) (*store, error) {
	s := &store{
		started: time.Now(),
		rows:    make(map[rowKey]row),
		changed: make(chan struct{}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	g.Go(func() { _ = http.Serve(l, s) })
	return s, nil
}

// write writes rows in one transaction; the caller holds no lock.
func (s *store) write(rows ...row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(rows...)
}

func (s *store) writeLocked(rows ...row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// has reports whether a row exists.
func (s *store) has(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowKey{table, "", key}]
	return ok && !r.Deleted
}

// count returns the number of rows of a table.
func (s *store) count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.rows {
		if r.Table == table && !r.Deleted {
			n++
		}
	}
	return n
}

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	body["now_ms"] = time.Since(s.started).Milliseconds() + 1
	if _, ok := body["ver"]; !ok {
		body["ver"] = s.version
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP answers one call.
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

const pageRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	out := s.match(func(o row) bool {
		return o.Table == q.Get("table") && o.Part == q.Get("part") && !o.Deleted && o.Key >= q.Get("from") && (q.Get("to") == "" || o.Key < q.Get("to"))
	})
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(out) > pageRows
	s.reply(w, http.StatusOK, map[string]any{"rows": out[:min(len(out), pageRows)], "has_more": more})
}

func (s *store) match(f func(row) bool) []row {
	out := []row{}
	for _, r := range s.rows {
		if f(r) {
			out = append(out, r)
		}
	}
	return out
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for last := wait <= 0; ; {
		s.mu.Lock()
		out := s.match(func(o row) bool { return o.Table == q.Get("table") && o.Version > after })
		if len(out) > 0 || last {
			slices.SortFunc(out, func(a, b row) int { return int(a.Version) - int(b.Version) })
			s.reply(w, http.StatusOK, map[string]any{"rows": out})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-deadline:
			last = true
		case <-changed:
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []row `json:"precondition"`
		Puts       []row `json:"puts"`
		Remove     []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	conflict := false
	for _, c := range t.Conditions {
		old := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if old.Deleted {
			old.Version = 0
		}
		conflict = conflict || old.Version != c.Version
		if old.Version > 0 {
			current = append(current, old)
		}
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	for i := range t.Remove {
		t.Remove[i].Deleted = true
		t.Remove[i].Value = nil
	}
	s.writeLocked(append(t.Puts, t.Remove...)...)
	s.reply(w, http.StatusOK, map[string]any{})
}
