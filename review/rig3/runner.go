package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a stand-in of a runner of a service.
type runner struct {
	id      string
	service string
	address string
	zone    string
	born    int64
	slots   int
	server  *http.Server
	// work is how long a plain request runs, and event the pause between the events of a stream.
	work  time.Duration
	event time.Duration
	// hook, if set, may answer a request instead of the runner; it returns true if it has.
	hook func(w http.ResponseWriter, r *http.Request) bool

	running atomic.Int64
	mu      sync.Mutex
	// ran has the number of runs by request id.
	ran map[string]int
}

func newRunner(s *store, id, service, zone, ip string) (*runner, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	x := &runner{
		id:      id,
		service: service,
		address: l.Addr().String(),
		zone:    zone,
		born:    time.Now().UnixMilli(),
		slots:   192,
		work:    20 * time.Millisecond,
		event:   20 * time.Millisecond,
		ran:     make(map[string]int),
	}
	if service == plainName {
		x.slots = 6
	}
	x.server = &http.Server{Handler: http.HandlerFunc(x.serve)}
	background.Go(func() { _ = x.server.Serve(l) })
	x.enter(s, "ready")
	return x, nil
}

// enter writes the runner's entry.
func (x *runner) enter(s *store, state string) {
	b := beat{Service: x.service, Address: x.address, Zone: x.zone, Version: "v1", Slots: x.slots, State: state, Seq: 1, Born: x.born}
	if x.service == modelName {
		b.Kind = "a100"
		b.Layers = map[string]int{"from": 0, "to": layers, "version": 1}
	}
	s.put("servers", x.id, b)
}

func (x *runner) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set("X-Instance-Id", x.id)
		return
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[],"busy":false,"seq":0,"waiting":0,"running":%d,"kv_used":0,"kv_total":800000,"pace":1.0,"handles":0,"born":%d}`, x.running.Load(), x.born)
		return
	case "/order":
		w.WriteHeader(http.StatusConflict)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if e := r.Header.Get("X-Expect-Instance"); e != "" && e != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if x.hook != nil && x.hook(w, r) {
		return
	}
	x.running.Add(1)
	defer x.running.Add(-1)
	x.mu.Lock()
	x.ran[id]++
	x.mu.Unlock()
	w.Header().Set("X-Server-Stamp", x.id+"."+id)
	if x.service == plainName {
		time.Sleep(x.work)
		fmt.Fprintf(w, "%s %s %d bytes by %s", r.Method, r.URL.Path, len(body), x.id)
		return
	}
	x.stream(w, r)
}

// stream writes the events of a stream, as many as the request allows.
func (x *runner) stream(w http.ResponseWriter, r *http.Request) {
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	n, _ := strconv.Atoi(output)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for i := last + 1; i <= max(n/3, 1); i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(x.event):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
			return
		}
		if err := out.Flush(); err != nil {
			return
		}
	}
}
