package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherhold.dev/platform/faker"
)

const (
	// crashServices routes to the services of a crashRig.
	crashServices = `{"version":7,"routes":[
 {"name":"look","host":"h","prefix":"/look/","kind":"idempotent","timeout_ms":2000,"goal_ms":500,"service":"orders","attempts":2,"public":true},
 {"name":"draft","host":"h","prefix":"/draft/","kind":"streaming","timeout_ms":5000,"goal_ms":500,"gap_aim_ms":200,"service":"draft","attempts":2,"resumable":true,"public":true}],
 "services":[{"name":"orders"},{"name":"draft","engine":{"slots":64,"step_ms":2,"read_per_s":100000,"layers":8,"layer_mb":10,"kv_bytes":1000,
  "kinds":[{"name":"k","mb":1000,"pace":1,"read_x":1}],"models":[{"name":"x","load_s":1}],"usual":{"prompt":10,"answer":5}}}],
 "limits":{"header_timeout_ms":20000,"idle_timeout_ms":20000}}`
	// absence is how long a crashed endpoint is away.
	absence = 400 * time.Millisecond
	// deadlyPart is the part of prompts, and deadlyPath the path of the request, that crash
	// the endpoints that begin to run it.
	deadlyPart = "bad"
	deadlyPath = "/deadly"
	// soundEvents is the number of events of a sound stream.
	soundEvents = 5
)

// ending is how far an endpoint gets with a deadly request before it crashes.
type ending int

const (
	beforeHeader ending = iota
	afterHeader
	afterEvent
	// inBody is a crash some events later, in the middle of one.
	inBody
	// atLaterStage is the crash of the second stage of a chain; the first one refuses the request
	// and names it.
	atLaterStage
)

// sent is a deadly request that reached an endpoint: when its caller sent it.
type sent struct {
	key string
	at  time.Time
}

// crashRig is a set of endpoints that crash under deadly requests, with their listeners and
// connections, and are back after a while as new incarnations.
type crashRig struct {
	t      *testing.T
	store  *faker.Store
	ending ending
	stop   chan struct{}

	mu sync.Mutex
	// endpoints holds the live endpoints by address.
	endpoints map[string]*crashEndpoint
	arrivals  []sent
	// crashes holds the times of the crashes under each key.
	crashes map[string][]time.Time
	restart sync.WaitGroup
}

// endpointPlan is what all incarnations of an endpoint have in common.
type endpointPlan struct {
	name     string
	service  string
	from, to int
	// address is empty before the first incarnation.
	address string
}

// crashEndpoint is one incarnation of an endpoint.
type crashEndpoint struct {
	endpointPlan
	rig         *crashRig
	incarnation int
	listener    net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
	ended bool
}

// start starts an incarnation of an endpoint and enters it in the store.
func (r *crashRig) start(plan endpointPlan, incarnation int) {
	if plan.address == "" {
		plan.address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", plan.address)
	if err != nil {
		r.t.Errorf("start %s: %v", plan.name, err)
		return
	}
	plan.address = l.Addr().String()
	e := &crashEndpoint{
		endpointPlan: plan,
		rig:          r,
		incarnation:  incarnation,
		listener:     l,
		conns:        make(map[net.Conn]bool),
	}
	r.mu.Lock()
	r.endpoints[e.address] = e
	r.mu.Unlock()
	r.restart.Go(e.accept)
	r.store.Write("servers", e.id(), fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"seq":1,"born":%d,"kind":"k","layers":{"from":%d,"to":%d,"version":1}}`,
		e.service, e.address, e.incarnation, e.from, e.to))
}

func (e *crashEndpoint) id() string {
	return fmt.Sprintf("i-%s-%d", e.name, e.incarnation)
}

// accept serves connections until the endpoint ends.
func (e *crashEndpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.ended {
			c.Close()
		}
		e.conns[c] = true
		e.mu.Unlock()
		e.rig.restart.Go(func() {
			e.serve(c)
			c.Close()
			e.mu.Lock()
			delete(e.conns, c)
			e.mu.Unlock()
		})
	}
}

// crash ends the endpoint under a deadly request; another incarnation starts after a while.
func (e *crashEndpoint) crash(key string) {
	e.mu.Lock()
	ended := e.ended
	e.ended = true
	for c := range e.conns {
		c.Close()
	}
	e.mu.Unlock()
	if ended {
		return
	}
	e.listener.Close()
	r := e.rig
	r.mu.Lock()
	delete(r.endpoints, e.address)
	r.crashes[key] = append(r.crashes[key], time.Now())
	r.mu.Unlock()
	r.restart.Go(func() {
		select {
		case <-r.stop:
		case <-time.After(absence):
			r.store.Delete("servers", e.id())
			r.start(e.endpointPlan, e.incarnation+1)
		}
	})
}

// close ends all endpoints for good.
func (r *crashRig) close() {
	close(r.stop)
	r.mu.Lock()
	for _, e := range r.endpoints {
		e.listener.Close()
		e.mu.Lock()
		e.ended = true
		for c := range e.conns {
			c.Close()
		}
		e.mu.Unlock()
	}
	r.mu.Unlock()
	r.restart.Wait()
}

// serve answers the requests of one connection.
func (e *crashEndpoint) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\nX-Server-Stamp: " + e.id() + "\r\n"
		switch {
		case r.URL.Path == "/report":
			const report = `{"busy":false,"seq":1,"waiting":0,"running":1,"kv_used":0,"kv_total":1000000,"pace":1}`
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(report), report)
		case r.URL.Path == "/order":
			fmt.Fprintf(c, "HTTP/1.1 404 Not Found\r\n%sContent-Length: 0\r\n\r\n", id)
		case keyOf(r) != "":
			e.rig.arrived(r)
			e.runDeadly(c, r, id)
			return
		case e.service == "orders":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", id)
		default:
			writeStream(c, id, soundEvents)
			io.WriteString(c, "0\r\n\r\n")
		}
	}
}

// keyOf returns what is deadly in a request; empty if nothing is.
func keyOf(r *http.Request) string {
	switch {
	case strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadlyPart+":"):
		return deadlyPart
	case strings.HasSuffix(r.URL.Path, deadlyPath):
		return r.URL.Path
	}
	return ""
}

// arrived records a deadly request, which says when its caller sent it.
func (r *crashRig) arrived(req *http.Request) {
	at, err := time.Parse(time.RFC3339Nano, req.Header.Get("Sent-At"))
	if err != nil {
		r.t.Errorf("time of a deadly request: %v", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, sent{
		key: keyOf(req),
		at:  at,
	})
}

// writeStream writes the header of a stream and events.
func writeStream(w io.Writer, id string, events int) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for i := range events {
		event := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(10 * time.Millisecond)
	}
}

// runDeadly begins to run a deadly request, and crashes.
func (e *crashEndpoint) runDeadly(c net.Conn, r *http.Request, id string) {
	time.Sleep(20 * time.Millisecond)
	if e.service == "orders" {
		if e.rig.ending == inBody {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\no", id)
		}
		e.crash(keyOf(r))
		return
	}
	switch e.rig.ending {
	case afterHeader:
		writeStream(c, id, 0)
	case afterEvent:
		writeStream(c, id, 1)
	case inBody:
		writeStream(c, id, 10)
		io.WriteString(c, "10\r\nid: 11\nda")
	case atLaterStage:
		e.crashLater(c, r, id)
		return
	}
	e.crash(keyOf(r))
}

// crashLater crashes the second stage of the request's chain, and refuses the request for it.
func (e *crashEndpoint) crashLater(c net.Conn, r *http.Request, id string) {
	_, later, ok := strings.Cut(r.Header.Get("X-Hop-Count"), ",")
	if !ok {
		e.rig.t.Errorf("got chain %q, want two stages", r.Header.Get("X-Hop-Count"))
		return
	}
	address, _, _ := strings.Cut(strings.TrimSpace(later), "=")
	e.rig.mu.Lock()
	stage, alive := e.rig.endpoints[address]
	e.rig.mu.Unlock()
	if alive {
		stage.crash(keyOf(r))
	}
	fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%sX-Not-Run: 1\r\nAt-Server: %s\r\nContent-Length: 0\r\n\r\n", id, address)
}

// late returns how many requests with a key reached endpoints that their callers sent later than
// a time after the crash with the given number; crashed is false if there were fewer crashes.
func (r *crashRig) late(key string, number int, after time.Duration) (n int, crashed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	crashes := r.crashes[key]
	if len(crashes) < number {
		return 0, false
	}
	for _, a := range r.arrivals {
		if a.key == key && a.at.After(crashes[number-1].Add(after)) {
			n++
		}
	}
	return n, true
}
