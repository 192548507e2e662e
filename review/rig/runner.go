package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a stand-in of one endpoint.
type runner struct {
	id      string
	service string
	zone    string
	kind    string
	address string
	born    int64
	log     *record
	store   *store

	listener net.Listener

	mu       sync.Mutex
	from, to int
	seq      int64
	// leftAt is when the store acknowledged that the entry is gone; requests holds when each
	// request reached the runner.
	leftAt   time.Time
	requests map[string]time.Time
	running  atomic.Int64
}

const (
	eventPause = 20 * time.Millisecond
	stride     = 3
	heartbeat  = 1200 * time.Millisecond
)

func newRunner(g *sync.WaitGroup, r *runner) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.listener = l
	r.requests = make(map[string]time.Time)
	r.address = l.Addr().String()
	r.born = time.Now().UnixMilli()
	r.beat()
	g.Go(func() { _ = http.Serve(l, r) })
	g.Go(func() {
		for range time.Tick(heartbeat) {
			if !r.beat() {
				return
			}
		}
	})
	return nil
}

// leave removes the runner's entry, without a report that it is draining. It goes on serving.
func (r *runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.write(row{Table: "servers", Key: r.id, Deleted: true})
	r.leftAt = time.Now()
	r.log.add("the entry of %s is gone: acked by the store", r.id)
}

// late returns the requests that reached the runner later than limit after its entry was gone.
func (r *runner) late(limit time.Duration) map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]time.Duration)
	for id, at := range r.requests {
		if !r.leftAt.IsZero() && at.Sub(r.leftAt) > limit {
			out[id] = at.Sub(r.leftAt)
		}
	}
	return out
}

// beat writes the runner's entry, unless it has left.
func (r *runner) beat() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leftAt.IsZero() {
		return false
	}
	v := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 192,
		"state": "ready", "cold_left_ms": 0, "seq": r.seq, "born": r.born,
	}
	if r.kind != "" {
		v["stage"] = "both"
		v["kind"] = r.kind
		v["layers"] = map[string]any{"from": r.from, "to": r.to, "version": 1}
		v["models"] = []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}
	}
	data, _ := json.Marshal(v)
	r.store.write(row{Table: "servers", Key: r.id, Value: data})
	return true
}

// ServeHTTP answers one request.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", r.id)
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/report":
		r.report(w)
		return
	case "/order":
		r.order(w, q)
		return
	case "/health":
		return
	}
	id := q.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	h.Set("X-Server-Stamp", "stamp."+r.id)
	h.Set("Keep-Alive", "timeout=5")
	r.running.Add(1)
	defer r.running.Add(-1)
	if r.kind == "" {
		r.log.add("run %s at %s", id, r.id)
		time.Sleep(30 * time.Millisecond)
		fmt.Fprintf(w, "done %s\n", id)
		return
	}
	first, _, _ := strings.Cut(q.Header.Get("X-Hop-Count"), ",")
	if !strings.HasPrefix(first, r.address+"=") {
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	r.requests[id] = time.Now()
	r.mu.Unlock()
	r.log.add("run %s at %s path %s", id, r.id, q.Header.Get("X-Hop-Count"))
	r.stream(w, q)
}

// stream writes the events of an answer.
func (r *runner) stream(w http.ResponseWriter, q *http.Request) {
	_, out, _ := strings.Cut(q.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(out)
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for n := last + 1; n <= (tokens+stride-1)/stride; n++ {
		select {
		case <-q.Context().Done():
			return
		case <-time.After(eventPause):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}},
		"busy": false, "seq": r.seq, "waiting": 0, "running": r.running.Load(), "kv_used": 0, "kv_total": 100000, "handles": 0,
		"pace": 1.0, "layers": map[string]any{"from": r.from, "to": r.to, "version": 1}, "stalled": []any{}, "born": r.born,
	})
}

// order carries out a placement at once.
func (r *runner) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Op       string `json:"op"`
		From, To int
		Expected *int64 `json:"precondition"`
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil || (o.Op != "place" && o.Op != "repath") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if o.Op == "repath" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	r.mu.Lock()
	if o.Expected != nil && *o.Expected != r.seq {
		r.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.from, r.to = o.From, o.To
	r.seq++
	r.mu.Unlock()
	r.log.add("order at %s: place %d-%d", r.id, o.From, o.To)
	r.beat()
	w.WriteHeader(http.StatusAccepted)
}
