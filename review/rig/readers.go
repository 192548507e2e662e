package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// darkRounds is how often two readers lose power, and darkTime for how long.
	darkRounds = 4
	darkTime   = 4 * time.Second
	// leavePerZone is how many endpoints of each zone leave in a round.
	leavePerZone = 2
	// firstOfReaders gives the machines names by which the pool's owner doesn't read the store
	// itself, as two in three fleets of three zones do.
	firstOfReaders = 27
	// readersPerSecond is the number of requests a second; the users' site has 90.
	readersPerSecond = 60
)

// readers plays the case of two readers of the store that lose power at the moment at which
// endpoints leave. With TROUBLE=0 the endpoints leave and no machine loses power.
func readers(ctx context.Context, f *fleet, c *callers) (int, error) {
	for i := range machines {
		if _, err := f.add(zones[i%len(zones)]); err != nil {
			return 2, err
		}
	}
	var g sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.Go(func() { f.check(ctx) })
	if !f.awaitReady(15 * time.Second) {
		return 2, fmt.Errorf("the machines didn't become ready")
	}
	time.Sleep(2 * time.Second)
	g.Go(func() { c.run(ctx, readersPerSecond) })
	time.Sleep(4 * time.Second)
	if os.Getenv("PROBE") != "" {
		readersOf(f, findOwner(f))
		return 0, nil
	}
	dark := make(map[*machine]bool)
	left := 0
	for round := range darkRounds {
		lost := readersOf(f, findOwner(f))
		if len(lost) != 2 {
			return 2, fmt.Errorf("found %d readers of the store", len(lost))
		}
		if os.Getenv("TROUBLE") != "0" {
			for _, m := range lost {
				dark[m] = true
				f.log.say("%s, which reads the store, loses power", m.name)
				if err := m.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
					return 2, err
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
		var leaving []*runner
		for _, r := range f.runners {
			n := int(r.id[len(r.id)-1] - '0')
			if r.from == 0 && r.leftAt.IsZero() && n/leavePerZone == round {
				r.leave()
				leaving = append(leaving, r)
				left++
			}
		}
		time.Sleep(darkTime)
		if os.Getenv("TROUBLE") != "0" {
			for _, m := range lost {
				m.kill()
				if err := m.start(f.group, f.root); err != nil {
					return 2, err
				}
			}
			f.log.say("they are back")
		}
		time.Sleep(3 * time.Second)
		for _, r := range leaving {
			_ = r.listener.Close()
		}
		time.Sleep(5 * time.Second)
	}
	cancel()
	time.Sleep(2500 * time.Millisecond)
	return judgeDrain(f, c, dark, left), nil
}

// readersOf returns two machines that read the store: that of the owner's zone and the one that
// this zone asks next, which is the first of the others with these names.
func readersOf(f *fleet, owner *machine) []*machine {
	var own, others []*machine
	for _, m := range f.list() {
		switch {
		case m == owner || owner == nil || !readsStore(m):
		case m.zone == owner.zone:
			own = append(own, m)
		default:
			others = append(others, m)
		}
	}
	if owner != nil {
		f.log.say("%s owns the pool, reads the store: %v", owner.name, readsStore(owner))
	}
	if len(own) == 0 && len(others) >= 2 {
		return others[:2]
	}
	if len(own) == 0 || len(others) == 0 {
		return nil
	}
	return []*machine{own[0], others[0]}
}

// readsStore reports whether a machine reads the list of endpoints from the store.
func readsStore(m *machine) bool {
	client := &http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + m.ip + ":9464/metrics")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body)
	return strings.Contains(string(data), `heatherhold_reads_store{table="servers"} 1`)
}
