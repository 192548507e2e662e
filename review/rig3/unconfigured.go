package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// outage is how long the store is away; the largest dose of the site file is 8.0 s.
	outage = 7900 * time.Millisecond
	// longHeads is the number of clients with a head without end, at each machine.
	longHeads = 100
	// headFields is the number of fields that they send, of 6 bytes each.
	headFields = 30000
)

// unconfiguredCase kills all processes once while the store is away. Clients that nobody controls then send heads
// without end to two of three machines. It plays the platform, which kills a process that exceeds the memory of
// its machine and starts it again.
func unconfiguredCase(f *field, trouble bool) (bool, error) {
	if err := f.addRunners(plainName, 3); err != nil {
		return false, err
	}
	if err := f.addRouters(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var calls ordinary
	for i := range 6 {
		group.Go(func() { f.callOnKept(f.routers[i%3], i, &calls, stop) })
	}
	time.Sleep(2 * time.Second)
	f.log("ordinary requests before: %d answered, %d refused or failed with an answer", calls.served.Load(), calls.refused.Load())
	ends := make([]atomic.Int64, 3)
	peaks := make([]atomic.Int64, 3)
	away := time.Now()
	if trouble {
		f.store.setDown(true)
		f.log("the store is away for %v", outage)
		for _, r := range f.routers {
			r.kill()
			f.log("%s is killed", r.name)
		}
		time.Sleep(300 * time.Millisecond)
		for _, r := range f.routers {
			if err := r.start(f.store, f.seeds, f.dir); err != nil {
				return false, err
			}
		}
	}
	for i := range 3 {
		group.Go(func() { f.watchMemory(i, &ends[i], &peaks[i], stop) })
	}
	over := make(chan struct{})
	if trouble {
		// A process that ends within a second of a disruption of its machine doesn't count.
		time.Sleep(1200 * time.Millisecond)
		for i := range machinesNeeded {
			for n := range longHeads {
				group.Go(func() { f.sendHead(f.routers[i], n, over) })
			}
		}
	}
	time.Sleep(time.Until(away.Add(outage)))
	if trouble {
		f.store.setDown(false)
		f.log("the store is back")
	}
	time.Sleep(5 * time.Second)
	close(over)
	before := calls.served.Load()
	time.Sleep(3 * time.Second)
	f.log("ordinary requests in the last 3 s: %d answered", calls.served.Load()-before)
	close(stop)
	group.Wait()
	machines := 0
	for i := range 3 {
		f.log("%s: most memory %d MB of %d, killed for it %d times", f.routers[i].name, peaks[i].Load(), memoryMB, ends[i].Load())
		if ends[i].Load() >= endsNeeded {
			machines++
		}
	}
	f.log("FAULT: processes of %d machines ended %d times or more because of their memory; the rule allows fewer than %d", machines, endsNeeded, machinesNeeded)
	return machines >= machinesNeeded, nil
}

// sendHead sends a head that has no end, and once more, a while after its connection has ended, until over.
func (f *field) sendHead(r *router, n int, over chan struct{}) {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	fmt.Fprintf(&b, "GET %sa HTTP/1.1\r\nHost: %s\r\nX-Request-Id: h-%d\r\n", readPrefix, host, n)
	for i := range headFields {
		fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i/36/36%36], letters[i/36%36], letters[i%36])
	}
	for {
		if c, err := net.DialTimeout("tcp", r.caller, time.Second); err == nil {
			_, _ = c.Write([]byte(b.String()))
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
			closed := make(chan struct{})
			background.Go(func() {
				_, _ = c.Read(make([]byte, 1))
				close(closed)
			})
			select {
			case <-over:
			case <-closed:
			}
			_ = c.Close()
		}
		select {
		case <-over:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}
