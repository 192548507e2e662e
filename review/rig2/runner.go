package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two entries of a runner in the store.
const heartbeat = 1200 * time.Millisecond

// runner is a stand-in of a sound runner.
type runner struct {
	rig     *rig
	id      string
	service string
	address string
	born    int64
	// work is how long a plain request takes, and pause the time between two events.
	work  time.Duration
	pause time.Duration
}

// addRunner starts a runner and enters it in the store, time and again.
func (r *rig) addRunner(x *runner) error {
	l, err := net.Listen("tcp", r.prefix+"4:0")
	if err != nil {
		return err
	}
	x.rig = r
	x.address = l.Addr().String()
	x.born = time.Now().UnixMilli()
	server := &http.Server{Handler: x}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(l) })
	x.beat(1)
	group.Go(func() {
		for seq := 2; ; seq++ {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				x.beat(seq)
			}
		}
	})
	r.closers = append(r.closers, func() {
		close(stop)
		_ = server.Close()
	})
	return nil
}

func (x *runner) beat(seq int) {
	entry := map[string]any{
		"service": x.service, "address": x.address, "zone": "hobart", "version": "v1", "slots": 192,
		"state": "ready", "cold_left_ms": 0, "seq": seq, "born": x.born,
	}
	if x.service == modelName {
		entry["stage"] = "both"
		entry["kind"] = "h8"
		entry["models"] = []any{map[string]any{"name": "daka510000", "version": 1, "adapters": []any{}}}
		entry["layers"] = map[string]any{"from": 0, "to": 80, "version": 1}
	} else {
		entry["slots"] = 6
	}
	x.rig.store.put("servers", x.id, marshal(entry))
}

func (x *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set("X-Instance-Id", x.id)
		return
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"stage":"both","models":[{"name":"daka510000","version":1,"adapters":[]}],"busy":false,"seq":1,"waiting":0,"running":0,"kv_used":0,"kv_total":100000,"pace":1,"stalled":[]}`)
		return
	case "/order":
		w.WriteHeader(http.StatusConflict)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != x.id {
		w.Header().Set("X-Instance-Id", x.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	x.rig.note("runner %s runs %s", x.id, id)
	w.Header().Set("X-Server-Stamp", x.id+"."+id)
	if x.service == modelName {
		x.stream(w, r)
		return
	}
	time.Sleep(x.work)
	_, _ = fmt.Fprintf(w, "%s ran %s with %d bytes\n", x.id, id, size)
}

// stream writes as many events as the request allows tokens.
func (x *runner) stream(w http.ResponseWriter, r *http.Request) {
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(strings.TrimSpace(output))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= (tokens+2)/3; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(x.pause):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 48)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}
