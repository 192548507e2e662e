package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

var zones = []string{"hobart", "glenorchy", "kingston"}

// fleet is the system's machines.
type fleet struct {
	root, dir string
	template  string
	store     *store
	log       *record
	group     *sync.WaitGroup
	ports     ports
	// net is the second number of the machines' addresses.
	net int

	runners []*runner

	mu       sync.Mutex
	n        int
	machines []*machine
}

// add starts a machine with a name and an address that no machine had before.
func (f *fleet) add(zone string) (*machine, error) {
	f.mu.Lock()
	f.n++
	n := f.n
	var seeds []string
	for _, m := range f.machines[:min(3, len(f.machines))] {
		seeds = append(seeds, m.control())
	}
	f.mu.Unlock()
	m := &machine{
		name:  fmt.Sprintf("front-%s-%d", zone, n),
		zone:  zone,
		ip:    fmt.Sprintf("127.%d.%d.%d", f.net, n/200, n%200+1),
		ports: f.ports,
	}
	if len(seeds) == 0 {
		seeds = []string{m.control()}
	}
	m.settings = filepath.Join(f.dir, m.name+".toml")
	if err := os.WriteFile(m.settings, []byte(render(f.template, m, f.store.address, seeds)), 0o600); err != nil {
		return nil, err
	}
	var err error
	if m.logFile, err = os.Create(filepath.Join(f.dir, m.name+".log")); err != nil {
		return nil, err
	}
	if err := m.start(f.group, f.root); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.machines = append(f.machines, m)
	f.mu.Unlock()
	return m, nil
}

// list returns the machines.
func (f *fleet) list() []*machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.machines)
}

// remove removes the oldest machine for good.
func (f *fleet) removeOldest() (*machine, error) {
	f.mu.Lock()
	m := f.machines[0]
	f.machines = slices.Delete(f.machines, 0, 1)
	f.mu.Unlock()
	m.kill()
	return m, m.goDark()
}

// pick returns a machine in rotation, as the load balancer does; if none is, any machine.
func (f *fleet) pick() *machine {
	var in []*machine
	all := f.list()
	for _, m := range all {
		if m.inRotation() {
			in = append(in, m)
		}
	}
	if len(in) == 0 {
		in = all
	}
	if len(in) == 0 {
		return nil
	}
	return in[rand.IntN(len(in))]
}

// check asks all machines once a second whether they are ready.
func (f *fleet) check(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		var g sync.WaitGroup
		for _, m := range f.list() {
			g.Go(func() { m.checkReady(client) })
		}
		g.Wait()
		time.Sleep(time.Second)
	}
}

// awaitReady waits until all machines are in rotation.
func (f *fleet) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(f.list(), func(m *machine) bool { return !m.inRotation() }) {
			return true
		}
	}
	return false
}

// killAll kills all processes.
func (f *fleet) killAll() {
	var g sync.WaitGroup
	for _, m := range f.list() {
		g.Go(m.kill)
	}
	g.Wait()
}
