package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// ordinaryClients try new connections all the time, each after a pause.
	ordinaryClients = 10
	ordinaryPause   = 200 * time.Millisecond
	// calmTime is how long the ordinary clients are served before the others come, and
	// watchTime how long they go on then.
	calmTime  = 3 * time.Second
	watchTime = 15 * time.Second
	// unfinished is how many clients begin a chunked body and stop just short of its end.
	unfinished = 1600
	// contactTime is contact_ms, and minClients how many clients must have tried meanwhile.
	contactTime = 3 * time.Second
	minClients  = 7
)

// playConnections has many clients that send chunked bodies in very small chunks, stop just
// short of the end and stay open. Ordinary callers must still get answers.
func playConnections(r *rig) (bool, error) {
	if err := r.startStore(); err != nil {
		return false, err
	}
	r.store.putConfiguration()
	for i := range 3 {
		if err := r.addRunner(&runner{id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), service: plainName, work: 30 * time.Millisecond}); err != nil {
			return false, err
		}
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
	target := r.routers[0]

	var mu sync.Mutex
	var results []result
	var notReady []time.Time
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range ordinaryClients {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(ordinaryPause):
				}
				got := getSheet(target.front)
				got.client = i
				mu.Lock()
				results = append(results, got)
				mu.Unlock()
			}
		})
	}
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			if !target.isReady() {
				mu.Lock()
				notReady = append(notReady, time.Now())
				mu.Unlock()
			}
		}
	})
	time.Sleep(calmTime)
	came := time.Now()
	var others []net.Conn
	if r.trouble {
		others = openUnfinished(r, target)
	}
	time.Sleep(watchTime)
	close(stop)
	group.Wait()
	for _, c := range others {
		_ = c.Close()
	}
	return judgeConnections(r, target, came, results, notReady)
}

// openUnfinished opens the connections with unfinished bodies.
func openUnfinished(r *rig, target *router) []net.Conn {
	var out []net.Conn
	failed := 0
	for range unfinished {
		c, err := net.DialTimeout("tcp", target.front, connectLimit)
		if err != nil {
			failed++
			continue
		}
		_, err = fmt.Fprintf(c, "POST %s2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", draftPath, host, newID())
		if err == nil {
			// The last chunk, of size 0, does not follow.
			_, err = io.WriteString(c, "1\r\nx\r\n1\r\ny\r\n1\r\nz\r\n")
		}
		if err != nil {
			failed++
		}
		out = append(out, c)
	}
	r.note("%d clients have sent a head and three chunks of one byte, and stay open; %d could not", unfinished-failed, failed)
	return out
}

// judgeConnections looks for a time of contact_ms in which the router said that it was ready and
// took none of the connections that at least seven clients tried: any answer counts as taken.
func judgeConnections(r *rig, target *router, came time.Time, results []result, notReady []time.Time) (bool, error) {
	servedBefore, triedBefore := 0, 0
	answered, tried := 0, 0
	var gapStart time.Time
	longest, longestTries, longestClients := time.Duration(0), 0, 0
	tries, clients := 0, make(map[int]bool)
	for _, got := range sortResults(results) {
		r.note("client %d, sent at %.3f s: %s", got.client, got.sent.Sub(r.began).Seconds(), got.String())
		if got.sent.Before(came) {
			triedBefore++
			if got.served() {
				servedBefore++
			}
			continue
		}
		tried++
		if got.status != 0 {
			answered++
			gapStart, tries = time.Time{}, 0
			clear(clients)
			continue
		}
		if gapStart.IsZero() {
			gapStart = got.sent
		}
		tries++
		clients[got.client] = true
		if d := got.sent.Sub(gapStart); d > longest {
			longest, longestTries, longestClients = d, tries, len(clients)
		}
	}
	r.note("before: %d of %d requests over new connections served; after: %d of %d answered, with whatever status", servedBefore, triedBefore, answered, tried)
	r.note("longest time without any: %.1f s, with %d tries by %d clients", longest.Seconds(), longestTries, longestClients)
	r.note("router %s said that it was not ready %d times; ended: %v", target.name, len(notReady), target.ended())
	r.note("log lines 'connection of a caller closed': %d", r.logLines(target, "connection of a caller closed"))
	if triedBefore < minClients || servedBefore*10 < triedBefore*9 {
		return false, fmt.Errorf("only %d of %d requests served in calm", servedBefore, triedBefore)
	}
	return longest > contactTime && longestClients >= minClients && len(notReady) == 0 && !target.ended(), nil
}
