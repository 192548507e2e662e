// Rig2 plays the cases of the review that are scripts: it starts routers as separate
// processes, with stand-ins of the platform's store, of runners and of clients on loopback
// addresses, and exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest bounds a case, below the time that a script may run.
const longest = 110 * time.Second

// cases has the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*rig) (bool, error){
	"connections": playConnections,
	"bodies":      playBodies,
	"events":      playEvents,
	"deadly":      playDeadly,
	"parts":       playParts,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD-FILE")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "rig2: unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	r, err := newRig(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		os.Exit(exitNotRun)
	}
	// Whatever ends the rig ends what it started.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	var group sync.WaitGroup
	group.Go(func() {
		select {
		case s := <-signals:
			r.note("ended by a signal: %v", s)
		case <-time.After(longest):
			r.note("not done after %v", longest)
		}
		r.close()
		os.Exit(exitNotRun)
	})
	broken, err := play(r)
	r.close()
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		os.Exit(exitNotRun)
	case broken:
		r.note("RESULT: the rule was broken")
		os.Exit(exitBroken)
	}
	r.note("RESULT: the rule held")
	os.Exit(exitHeld)
}
