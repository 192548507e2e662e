package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	machines     = 9
	replacements = 120
	replacePause = 250 * time.Millisecond
	perSecond    = 30
	// recoverTime and servedShare are those of the rule RECOVER.
	recoverTime = 12 * time.Second
	servedShare = 0.25
	judgedTime  = 12 * time.Second
)

// replaced plays the case of machines that are replaced one after the other, before all processes
// are killed at once. With TROUBLE=0 no machine is replaced and no process killed; with
// TROUBLE=kill no machine is replaced.
func replaced(ctx context.Context, f *fleet, c *callers) (int, error) {
	trouble := os.Getenv("TROUBLE")
	count := replacements
	if n, err := strconv.Atoi(os.Getenv("REPLACEMENTS")); err == nil {
		count = n
	}
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
	began := time.Now()
	g.Go(func() { c.run(ctx, perSecond) })
	time.Sleep(10 * time.Second)
	if trouble != "0" && trouble != "kill" {
		for range count {
			if err := replaceOne(f); err != nil {
				return 2, err
			}
		}
	}
	time.Sleep(6 * time.Second)
	killed := time.Now()
	if trouble != "0" {
		f.killAll()
		f.log.say("all processes killed; %d rows of instances in the store", f.store.count("heatherhold-instances"))
		time.Sleep(1200 * time.Millisecond)
		for _, m := range f.list() {
			if err := m.start(f.group, f.root); err != nil {
				return 2, err
			}
		}
	}
	back := time.Now()
	f.log.say("the machines are back after %d ms", back.Sub(killed).Milliseconds())
	time.Sleep(recoverTime + judgedTime)
	end := time.Now()
	time.Sleep(2500 * time.Millisecond)
	return judge(f.log, c, began, killed, back, end), nil
}

// replaceOne lets a new machine start at another address, and removes the oldest one for good.
func replaceOne(f *fleet) error {
	oldest := f.list()[0]
	m, err := f.add(oldest.zone)
	if err != nil {
		return err
	}
	for end := time.Now().Add(5 * time.Second); !f.store.has("heatherhold-instances", m.name); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s is not in the registry after 5 s", m.name)
		}
	}
	time.Sleep(replacePause)
	if _, err := f.removeOldest(); err != nil {
		return err
	}
	f.log.add("machine %s is gone for good; %s is new", oldest.name, m.name)
	return nil
}

// judge tells whether RECOVER was broken.
func judge(log *record, c *callers, began, killed, back, end time.Time) int {
	served, all, drafts, draftsServed := c.served(began, killed)
	before := float64(served) / float64(max(all, 1))
	log.say("before the fault: served %d of %d requests, %d of %d drafts", served, all, draftsServed, drafts)
	for t := back; t.Before(end); t = t.Add(2 * time.Second) {
		n, of, d, ds := c.served(t, t.Add(2*time.Second))
		log.say("%4.0f s after the machines were back: served %d of %d requests, %d of %d drafts", t.Sub(back).Seconds(), n, of, ds, d)
	}
	served, all, drafts, draftsServed = c.served(back.Add(recoverTime), end)
	after := float64(served) / float64(max(all, 1))
	log.say("later than %v after: served %d of %d requests, %d of %d drafts", recoverTime, served, all, draftsServed, drafts)
	switch {
	case all == 0 || before < servedShare:
		log.say("the rule can't be judged")
		return 2
	case after < servedShare:
		log.say("RECOVER is broken: %.3f of the requests were served, %.3f before", after, before)
		return 1
	}
	log.say("RECOVER held: %.3f of the requests were served, %.3f before", after, before)
	return 0
}
