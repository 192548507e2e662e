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

// deadlyLedger holds when such requests reached runners, and when runners crashed.
type deadlyLedger struct {
	rig      *rig
	mu       sync.Mutex
	arrivals []arrival
	crashes  []time.Time
}

// arrival is a request that reached a runner.
type arrival struct {
	id string
	at time.Time
}

// late returns how many arrivals, and how many requests, came later than contactTime after the n-th
// crash.
func (l *deadlyLedger) late(n int) (arrivals, requests int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.crashes) < n {
		return 0, 0
	}
	ids := make(map[string]bool)
	for _, a := range l.arrivals {
		if a.at.After(l.crashes[n-1].Add(contactTime)) {
			arrivals++
			ids[a.id] = true
		}
	}
	return arrivals, len(ids)
}

// counts returns how many arrivals and crashes there were.
func (l *deadlyLedger) counts() (arrivals, crashes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.arrivals), len(l.crashes)
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
		request := q.Header.Get("X-Request-Id")
		x.ledger.mu.Lock()
		x.ledger.arrivals = append(x.ledger.arrivals, arrival{id: request, at: time.Now()})
		x.ledger.mu.Unlock()
		r.note("runner %s begins to run %s %s and crashes", id, request, q.URL.RequestURI())
		once.Do(func() {
			x.ledger.mu.Lock()
			x.ledger.crashes = append(x.ledger.crashes, time.Now())
			x.ledger.mu.Unlock()
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
	arrivals, crashes := ledger.counts()
	late, _ := ledger.late(condemnedAfter)
	r.note("the request reached runners %d times and crashed %d, %d times later than %v after the third; ordinary requests: %d served, %d not", arrivals, crashes, late, contactTime, served, failed)
	if served == 0 {
		return false, fmt.Errorf("no ordinary request was served")
	}
	return late > maxRetries, nil
}
