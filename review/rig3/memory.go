package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryMB = 284
	// openRequests is the number of requests of one round: less than a third of a machine's 4,100 descriptors.
	openRequests = 1300
	// longFields and fields are the numbers of header fields of 8 bytes, and of all. A head has some 8,000
	// bytes; the configuration allows 16,384.
	longFields = 480
	fields     = 1200
	// endsNeeded and machinesNeeded are those of the rule.
	endsNeeded     = 3
	machinesNeeded = 2
	// lostAllowed is that of the rule LOST, for requests of kept connections at any time.
	lostAllowed = 3
)

// memoryCase lets clients that nobody controls press on two of three machines, and plays the platform,
// which kills a process that exceeds the memory of its machine and starts it again.
func memoryCase(f *field, trouble bool) (bool, error) {
	if err := f.addRunners(plainName, 3); err != nil {
		return false, err
	}
	if err := f.addRunners(modelName, 3); err != nil {
		return false, err
	}
	if err := f.addRouters(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, x := range f.runners {
		x.work = 100 * time.Millisecond
	}
	var calls ordinary
	for i := range 18 {
		group.Go(func() { f.callOnKept(f.routers[i%3], i, &calls, stop) })
	}
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			f.log("ordinary requests so far: %d answered, %d refused or failed with an answer, %d not connected; %d requests have run", calls.served.Load(), calls.refused.Load(), calls.unconnected.Load(), f.runs())
		}
	})
	ends := make([]atomic.Int64, 3)
	peaks := make([]atomic.Int64, 3)
	for i := range 3 {
		group.Go(func() { f.watchMemory(i, &ends[i], &peaks[i], stop) })
	}
	end := time.Now().Add(75 * time.Second)
	if trouble {
		var attacks sync.WaitGroup
		for i := range machinesNeeded {
			attacks.Go(func() {
				for round := 1; time.Now().Before(end) && ends[i].Load() < endsNeeded; round++ {
					f.pressRound(i, round, &ends[i], &peaks[i])
				}
			})
		}
		attacks.Wait()
	} else {
		time.Sleep(30 * time.Second)
	}
	close(stop)
	group.Wait()
	machines := 0
	for i := range 3 {
		f.log("%s: most memory %d MB of %d, killed for it %d times", f.routers[i].name, peaks[i].Load(), memoryMB, ends[i].Load())
		if ends[i].Load() >= endsNeeded {
			machines++
		}
	}
	f.log("Fault: processes of %d machines ended %d times or more because of their memory; the rule allows fewer than %d", machines, endsNeeded, machinesNeeded)
	f.log("LOST: %d requests of kept connections were passed on to a runner and got no answer; the rule allows %d", calls.lost.Load(), lostAllowed)
	return calls.lost.Load() > lostAllowed, nil
}

// ordinary counts the requests of the ordinary callers.
type ordinary struct {
	served, refused, unconnected, lost atomic.Int64
}

// callOnKept sends lookups and commits to one machine, one after another, on a kept connection.
func (f *field) callOnKept(r *router, i int, calls *ordinary, stop chan struct{}) {
	for {
		c, err := net.DialTimeout("tcp", r.caller, time.Second)
		if err != nil {
			calls.unconnected.Add(1)
			time.Sleep(100 * time.Millisecond)
		} else {
			f.callOn(c, r, i, calls, stop)
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}

// callOn sends requests on one connection until it ends.
func (f *field) callOn(c net.Conn, r *router, i int, calls *ordinary, stop chan struct{}) {
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		q := lookup("a")
		if i%2 == 0 {
			q = commit("a", "a run")
		}
		id := newID("o")
		_ = c.SetDeadline(time.Now().Add(q.deadline))
		if _, err := c.Write([]byte(q.text(id, 0))); err != nil {
			return
		}
		x := readAnswer(in, result{id: id}, q.method, time.Now())
		switch {
		case x.status == http.StatusOK && x.err == nil:
			calls.served.Add(1)
		case x.status != 0:
			calls.refused.Add(1)
			f.log("%s: %v", r.name, x)
			wait, _ := strconv.ParseFloat(x.header.Get("Retry-After"), 64)
			time.Sleep(time.Duration(max(wait, 0.1) * float64(time.Second)))
		default:
			ran := f.hasRun(id)
			f.log("%s: %s %s, request %d of its connection: no answer, %v; it has run: %v", r.name, q.method, x.id, n+1, x.err, ran)
			if ran && n > 0 && !timedOut(x.err) {
				calls.lost.Add(1)
			}
		}
		if x.err != nil || x.header.Get("Connection") == "close" {
			return
		}
	}
}

func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// watchMemory kills the process of a machine when it exceeds the machine's memory, and starts it again.
func (f *field) watchMemory(i int, ends, peak *atomic.Int64, stop chan struct{}) {
	r := f.routers[i]
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		now := int64(r.anonymous())
		if now > peak.Load() {
			peak.Store(now)
		}
		if now <= memoryMB && !r.ended() {
			continue
		}
		ends.Add(1)
		f.log("%s holds %d MB of %d: killed, and started again", r.name, now, memoryMB)
		r.kill()
		time.Sleep(300 * time.Millisecond)
		if err := r.start(f.store, f.seeds, f.dir); err != nil {
			f.log("%s not started: %v", r.name, err)
			return
		}
	}
}

// pressRound opens requests at one machine, which all stop short of their end, until it was killed or all are
// open for a while.
func (f *field) pressRound(i, round int, ends, peak *atomic.Int64) {
	r := f.routers[i]
	before := ends.Load()
	for n := 0; !f.isReady(r) && n < 100; n++ {
		time.Sleep(100 * time.Millisecond)
	}
	over := make(chan struct{})
	var group sync.WaitGroup
	var open atomic.Int64
	for n := range openRequests {
		group.Go(func() {
			time.Sleep(time.Duration(n) * 2 * time.Millisecond)
			f.openRequest(r.caller, over, &open)
		})
	}
	for n := 0; n < 50 && ends.Load() == before; n++ {
		time.Sleep(100 * time.Millisecond)
		if n%5 == 4 {
			f.log("%s, round %d: %d requests open; memory %d MB, most %d MB", r.name, round, open.Load(), r.anonymous(), peak.Load())
		}
	}
	close(over)
	group.Wait()
}

// openRequest sends a request whose head is within the limit and whose chunked body, in very small chunks, stops
// short of its end, and stays open.
func (f *field) openRequest(address string, over chan struct{}, open *atomic.Int64) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	head := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 20000\r\nX-Api-Key: %s\r\nTransfer-Encoding: chunked\r\n", draftPrefix, host, newID("h"), tenantKey(1))
	text := shortFields(head) + strings.Repeat("1\r\nx\r\n", 20)
	if _, err := c.Write([]byte(text)); err != nil {
		return
	}
	open.Add(1)
	<-over
}

// shortFields adds fields of a few bytes to a head, and its end.
func shortFields(head string) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	b.WriteString(head)
	for i := range fields {
		pad := ""
		if i < longFields {
			pad = "xxx"
		}
		fmt.Fprintf(&b, "%c%c:%s\r\n", letters[i/36%36], letters[i%36], pad)
	}
	b.WriteString("\r\n")
	return b.String()
}
