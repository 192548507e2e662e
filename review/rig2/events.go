package main

import (
	"bufio"
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

const (
	// liveEvents is the number of events of each stream, and liveEventPause the time between two.
	liveEvents     = 30
	liveEventPause = 20 * time.Millisecond
	// liveClients ask for streams all the time.
	liveClients = 6
	// crashAfter is how long after the start the first runner crashes, and crashGap the time until
	// the next one does.
	crashAfter = 3 * time.Second
	crashGap   = 3 * time.Second
	// restartTime is how long a runner that crashed is away.
	restartTime = time.Second
	// eventsTime is how long clients ask.
	eventsTime = 14 * time.Second
)

// livePath is the prefix of a streaming route to the plain service.
const livePath = "/pufi791/"

// eventRunner is a stand-in of a runner of a service without an engine that answers with a series
// of events. Its answers have neither a length nor chunks and end with their connections.
type eventRunner struct {
	rig  *rig
	mu   sync.Mutex
	next int
	// id is that of the present start, and listener its listener.
	id       string
	address  string
	listener net.Listener
	crashed  chan struct{}
	cut      atomic.Int64
}

// start starts the runner, anew with another id.
func (x *eventRunner) start() error {
	address := x.rig.prefix + "4:0"
	if x.address != "" {
		address = x.address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.next++
	x.id = fmt.Sprintf("i-%x%04x", l.Addr().(*net.TCPAddr).Port, x.next)
	x.address = l.Addr().String()
	x.listener = l
	crashed := make(chan struct{})
	x.crashed = crashed
	id := x.id
	x.mu.Unlock()
	born := time.Now().UnixMilli()
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() { x.serve(c, id, crashed) })
		}
	})
	group.Go(func() {
		for seq := 1; ; seq++ {
			x.rig.store.put("servers", id, marshal(map[string]any{
				"service": plainName, "address": x.address, "zone": "hobart", "version": "v1", "slots": 6,
				"state": "ready", "cold_left_ms": 0, "seq": seq, "born": born,
			}))
			select {
			case <-crashed:
				// The store removes the entry after three heartbeats of silence.
				time.Sleep(3 * heartbeat)
				x.rig.store.remove("servers", id)
				return
			case <-time.After(heartbeat):
			}
		}
	})
	return nil
}

// crash ends the runner: its listener and all of its connections are closed.
func (x *eventRunner) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	_ = x.listener.Close()
	close(x.crashed)
}

// serve answers one request. If the runner crashes meanwhile, the stream is cut off in the middle
// of an event.
func (x *eventRunner) serve(c net.Conn, id string, crashed <-chan struct{}) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	request := r.Header.Get("X-Request-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Request-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id, request)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	x.rig.note("runner %s runs %s after event %d", id, request, last)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s.%s\r\nConnection: close\r\n\r\n", request, id, request)
	for i := last + 1; i <= liveEvents; i++ {
		event := liveEvent(i)
		if _, err := io.WriteString(c, event[:len(event)/2]); err != nil {
			return
		}
		select {
		case <-crashed:
			x.cut.Add(1)
			x.rig.note("runner %s crashed in event %d of %s", id, i, request)
			return
		case <-time.After(liveEventPause):
		}
		if _, err := io.WriteString(c, event[len(event)/2:]); err != nil {
			return
		}
	}
}

func liveEvent(i int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat(string(rune('a'+i%26)), 48))
}

// playEvents has runners crash while they answer with events without a length or chunks. A stream
// that ends inside an event must not look complete.
func playEvents(r *rig) (bool, error) {
	if err := r.startStore(); err != nil {
		return false, err
	}
	r.store.putConfiguration()
	var runners []*eventRunner
	for range 3 {
		x := &eventRunner{rig: r}
		if err := x.start(); err != nil {
			return false, err
		}
		runners = append(runners, x)
	}
	for i := range 3 {
		if _, err := r.addRouter(fmt.Sprintf("front-hobart-%d", i+1)); err != nil {
			return false, err
		}
	}
	for _, p := range r.routers {
		if err := r.start(p); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)

	var complete, early, other atomic.Int64
	stop := time.Now().Add(eventsTime)
	var group sync.WaitGroup
	for i := range liveClients {
		group.Go(func() {
			for time.Now().Before(stop) {
				switch r.askLive(r.routers[i%len(r.routers)].front) {
				case streamComplete:
					complete.Add(1)
				case streamEarly:
					early.Add(1)
				case streamFailed:
					other.Add(1)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	if r.trouble {
		time.Sleep(crashAfter)
		for _, x := range runners {
			x.crash()
			time.Sleep(restartTime)
			if err := x.start(); err != nil {
				return false, err
			}
			time.Sleep(crashGap - restartTime)
		}
	}
	group.Wait()
	r.note("streams complete: %d; ended early and looked complete: %d; failed, and the client could tell: %d", complete.Load(), early.Load(), other.Load())
	if complete.Load() == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return early.Load() > 0, nil
}

// What a client can tell of a stream.
const (
	streamComplete = iota
	streamEarly
	streamFailed
)

// askLive asks for a stream and returns what the client can tell of it.
func (r *rig) askLive(address string) int {
	id := newID()
	c, err := net.DialTimeout("tcp", address, connectLimit)
	if err != nil {
		return streamFailed
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(draftDeadline))
	body := strings.Repeat("y", 800)
	_, err = fmt.Fprintf(c, "POST %s2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		livePath, host, id, draftDeadline.Milliseconds(), apiKey, len(body), body)
	if err != nil {
		return streamFailed
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.note("client: %s: no answer: %v", id, err)
		return streamFailed
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		r.note("client: %s: status %d, broken off or refused: %v", id, res.StatusCode, err)
		return streamFailed
	}
	var want strings.Builder
	for i := 1; i <= liveEvents; i++ {
		want.WriteString(liveEvent(i))
	}
	if string(data) == want.String() {
		r.note("client: %s: status 200, stamp %s, all %d events", id, res.Header.Get("X-Server-Stamp"), liveEvents)
		return streamComplete
	}
	r.note("client: %s: status 200, stamp %s, Content-Length %d, whole by its framing, but it ends after %d of %d bytes with %q",
		id, res.Header.Get("X-Server-Stamp"), res.ContentLength, len(data), want.Len(), string(data[max(len(data)-20, 0):]))
	return streamEarly
}
