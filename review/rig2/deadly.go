package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// deadlyPath is that of the request that crashes each runner that runs it.
	deadlyPath = sheetPath + "b00m"
	// deadlyPause is the time between two of its repeats, and deadlyTime how long they come.
	deadlyPause = 700 * time.Millisecond
	deadlyTime  = 20 * time.Second
	// backTime is how long a runner that crashed is away.
	backTime = 2 * time.Second
	// condemnedAfter is the number of crashes after which, and contactTime later, retries count, and
	// maxRetries how many may reach runners then.
	condemnedAfter = 3
	maxRetries     = 3
)

// deadlyRunner is a stand-in of a runner that crashes when it begins to run a certain request.
type deadlyRunner struct {
	ledger  *deadlyLedger
	mu      sync.Mutex
	starts  int
	address string
	stopped bool
	server  *http.Server
	halt    chan struct{}
	// service is the runner's service, and deadly tells the requests that crash it.
	service string
	deadly  func(q *http.Request) bool
}

// deadlyLedger holds when the request reached a runner.
type deadlyLedger struct {
	rig  *rig
	mu   sync.Mutex
	runs []time.Time
}

func (x *deadlyRunner) start() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stopped {
		return nil
	}
	r := x.ledger.rig
	address := x.address
	if address == "" {
		address = r.prefix + "4:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	x.address = l.Addr().String()
	x.starts++
	id := fmt.Sprintf("i-%x%04x", l.Addr().(*net.TCPAddr).Port, x.starts)
	sound := &runner{rig: r, id: id, service: x.service, work: 20 * time.Millisecond, pause: eventPause, address: x.address, born: time.Now().UnixMilli()}
	halt := make(chan struct{})
	var once sync.Once
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if expected := q.Header.Get("X-Expect-Instance"); !x.deadly(q) || expected != id {
			sound.ServeHTTP(w, q)
			return
		}
		x.ledger.mu.Lock()
		x.ledger.runs = append(x.ledger.runs, time.Now())
		n := len(x.ledger.runs)
		x.ledger.mu.Unlock()
		r.note("runner %s begins to run %s %s (time %d) and crashes", id, q.Header.Get("X-Request-Id"), q.URL.RequestURI(), n)
		once.Do(func() {
			close(halt)
			_ = server.Close()
			time.AfterFunc(backTime, func() { _ = x.start() })
		})
		panic(http.ErrAbortHandler)
	})
	x.server, x.halt = server, halt
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(l) })
	sound.beat(1)
	group.Go(func() {
		for seq := 2; ; seq++ {
			select {
			case <-halt:
				time.Sleep(3 * heartbeat)
				r.store.remove("servers", id)
				return
			case <-time.After(heartbeat):
				sound.beat(seq)
			}
		}
	})
	return nil
}

func (x *deadlyRunner) stop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stopped = true
	_ = x.server.Close()
}

// playDeadly repeats a request that crashes each runner that runs it, with the same path, caller and
// body, and another query each time.
func playDeadly(r *rig) (bool, error) {
	if err := r.startStore(); err != nil {
		return false, err
	}
	r.store.putConfiguration()
	ledger := &deadlyLedger{rig: r}
	for range 6 {
		x := &deadlyRunner{ledger: ledger, service: plainName, deadly: func(q *http.Request) bool { return q.URL.Path == deadlyPath }}
		if err := x.start(); err != nil {
			return false, err
		}
		r.closers = append(r.closers, x.stop)
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
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	served, failed := 0, 0
	stop := time.Now().Add(deadlyTime)
	var group sync.WaitGroup
	for i := range ordinaryClients {
		group.Go(func() {
			for time.Now().Before(stop) {
				got := getSheet(r.routers[i%len(r.routers)].front)
				mu.Lock()
				if got.served() {
					served++
				} else {
					failed++
				}
				mu.Unlock()
				time.Sleep(ordinaryPause)
			}
		})
	}
	// With the same query each time the router knows the request again.
	same := os.Getenv("QUERY") == "same"
	for n := 0; r.trouble && time.Now().Before(stop); n++ {
		query := fmt.Sprintf("?n=%d", n)
		if same {
			query = "?n=0"
		}
		got := get(r.routers[n%len(r.routers)].front, deadlyPath+query)
		r.note("client: %s%s: %s", deadlyPath, query, got.String())
		time.Sleep(deadlyPause)
	}
	group.Wait()
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	late := 0
	if len(ledger.runs) >= condemnedAfter {
		from := ledger.runs[condemnedAfter-1].Add(contactTime)
		for _, at := range ledger.runs {
			if at.After(from) {
				late++
			}
		}
	}
	r.note("the request crashed runners %d times, %d of them later than %v after the third; ordinary requests: %d served, %d not", len(ledger.runs), late, contactTime, served, failed)
	if served == 0 {
		return false, fmt.Errorf("no ordinary request was served")
	}
	return late > maxRetries, nil
}
