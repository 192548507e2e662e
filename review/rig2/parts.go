package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// badPart crashes each runner that begins to write an answer on it.
	badPart = "dead0bad"
	// partsBefore is the number of parts before it.
	partsBefore = 40
	// partCrashes is the number of crashes after which, and contactTime later, requests count.
	partCrashes = 5
	// maxPartRequests is how many of them may reach runners then.
	maxPartRequests = 3
	// partClients send ordinary drafts of partTokens, so many that those with the part are under one
	// in twenty.
	partClients = 24
	partTokens  = 30
	// partsTime is how long the requests come.
	partsTime = 22 * time.Second
)

// playParts sends requests with a part that crashes runners, no two alike.
func playParts(r *rig) (bool, error) {
	if err := r.startStore(); err != nil {
		return false, err
	}
	r.store.putConfiguration()
	ledger := &deadlyLedger{rig: r}
	for range 8 {
		x := &deadlyRunner{ledger: ledger, service: modelName, deadly: func(q *http.Request) bool {
			return strings.Contains(q.Header.Get("X-Prompt-Prefix"), badPart+":")
		}}
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
	before := partsBefore
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		before = n
	}
	var mu sync.Mutex
	served, failed := 0, 0
	stop := time.Now().Add(partsTime)
	var group sync.WaitGroup
	for i := range partClients {
		group.Go(func() {
			for time.Now().Before(stop) {
				got := r.draft(r.routers[i%len(r.routers)].front, before, false)
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
	bad := 0
	for n := 0; r.trouble && time.Now().Before(stop); n++ {
		bad++
		got := r.draft(r.routers[n%len(r.routers)].front, before, true)
		r.note("client: with the part: %s", got.String())
		time.Sleep(deadlyPause)
	}
	group.Wait()
	_, crashes := ledger.counts()
	_, late := ledger.late(partCrashes)
	r.note("requests with the part: %d, and others: %d, of which %d not served", bad, served+failed, failed)
	r.note("the part crashed %d runners; %d requests with it reached runners later than %v after the fifth", crashes, late, contactTime)
	if served == 0 {
		return false, fmt.Errorf("no ordinary draft was served")
	}
	return late > maxPartRequests, nil
}

// draft sends a request for a draft with the given number of shared parts before the last two, and
// reads the answer. Its body and its last part are like those of no other.
func (r *rig) draft(address string, before int, bad bool) result {
	got := result{id: newID(), sent: time.Now()}
	var parts []string
	for i := range before {
		parts = append(parts, fmt.Sprintf("5c1e%04x:5", i))
	}
	if bad {
		parts = append(parts, badPart+":5")
	} else {
		parts = append(parts, "600d0000:5")
	}
	parts = append(parts, got.id[:8]+":400")
	got.err = func() error {
		c, err := net.DialTimeout("tcp", address, connectLimit)
		if err != nil {
			return err
		}
		defer c.Close()
		_ = c.SetDeadline(got.sent.Add(draftDeadline))
		head := draftHead(got.id, apiKey, partTokens, "Content-Length: 16")
		i := strings.Index(head, "X-Prompt-Prefix")
		j := i + strings.Index(head[i:], "\r\n")
		head = head[:i] + "X-Prompt-Prefix: " + strings.Join(parts, ",") + head[j:]
		if _, err := io.WriteString(c, head+got.id); err != nil {
			return err
		}
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return err
		}
		defer res.Body.Close()
		n, err := io.Copy(io.Discard, res.Body)
		got.status, got.stamp, got.body = res.StatusCode, res.Header.Get("X-Server-Stamp"), int(n)
		return err
	}()
	got.ended = time.Now()
	return got
}
