package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// rounds is how often the owner is frozen, and freezeTime how long. leaveAfter is when
	// endpoints leave meanwhile, and serveOn how long these go on serving.
	rounds     = 4
	freezeTime = 4 * time.Second
	leaveAfter = 2500 * time.Millisecond
	serveOn    = 8 * time.Second
	// drainBound is the rule's bound.
	drainBound = 2 * time.Second
)

// stale plays the case of a pool's owner that freezes while endpoints leave. With TROUBLE=0 the
// endpoints leave and nothing is frozen.
func stale(ctx context.Context, f *fleet, c *callers) (int, error) {
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
	g.Go(func() { c.run(ctx, perSecond) })
	time.Sleep(5 * time.Second)
	frozen := make(map[*machine]bool)
	left := 0
	for round := range rounds {
		owner := findOwner(f)
		if owner == nil {
			return 2, fmt.Errorf("no owner of the pool found")
		}
		if os.Getenv("TROUBLE") != "0" {
			frozen[owner] = true
			f.log.say("%s, which owns the pool, freezes", owner.name)
			if err := owner.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
				return 2, err
			}
		}
		time.Sleep(leaveAfter)
		var leaving []*runner
		for _, r := range f.runners {
			if r.from == 0 && r.leftAt.IsZero() && r.id[len(r.id)-1] == byte('0'+round) {
				r.leave()
				leaving = append(leaving, r)
				left++
			}
		}
		time.Sleep(freezeTime - leaveAfter)
		if os.Getenv("TROUBLE") != "0" {
			f.log.say("%s wakes", owner.name)
			if err := owner.cmd.Process.Signal(syscall.SIGCONT); err != nil {
				return 2, err
			}
		}
		time.Sleep(serveOn - (freezeTime - leaveAfter))
		for _, r := range leaving {
			_ = r.listener.Close()
		}
		time.Sleep(2 * time.Second)
	}
	cancel()
	time.Sleep(2500 * time.Millisecond)
	return judgeDrain(f, c, frozen, left), nil
}

var roundsMetric = regexp.MustCompile(`heatherhold_owner_round_seconds_count\{service="word-llm"\} (\d+)`)

// ownerRounds returns how many rounds of decisions of the pool a machine has made.
func ownerRounds(m *machine) int {
	client := &http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + m.ip + ":9464/metrics")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body)
	match := roundsMetric.FindSubmatch(data)
	if match == nil {
		return 0
	}
	n, _ := strconv.Atoi(string(match[1]))
	return n
}

// findOwner returns the machine that owns the pool: the one that decides most.
func findOwner(f *fleet) *machine {
	before := make(map[*machine]int)
	for _, m := range f.list() {
		before[m] = ownerRounds(m)
	}
	time.Sleep(500 * time.Millisecond)
	var owner *machine
	most := 0
	for _, m := range f.list() {
		if n := ownerRounds(m) - before[m]; n > most {
			owner, most = m, n
		}
	}
	return owner
}

// judgeDrain tells whether DRAIN was broken by machines that were never frozen.
func judgeDrain(f *fleet, c *callers, frozen map[*machine]bool, left int) int {
	broken := 0
	for _, r := range f.runners {
		for id, after := range r.late(drainBound) {
			m, sent := c.sentTo(id)
			if m == nil || frozen[m] {
				continue
			}
			broken++
			f.log.say("request %s, sent %d ms after the entry of %s was gone, reached it from %s after %d ms", id, sent.Sub(r.leftAt).Milliseconds(), r.id, m.name, after.Milliseconds())
		}
	}
	if left == 0 {
		return 2
	}
	if broken > 0 {
		f.log.say("DRAIN is broken: %d requests reached endpoints later than %v after their entries were gone", broken, drainBound)
		return 1
	}
	f.log.say("DRAIN held for %d endpoints that left", left)
	return 0
}
