// Program rig3 starts routers as separate processes between stand-ins of the users' store,
// runners and clients, and judges a case by what these have seen.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// background has the goroutines of the stand-ins, which end with the process.
var background sync.WaitGroup

func main() {
	name := flag.String("case", "", "")
	trouble := flag.Bool("trouble", true, "")
	record := flag.String("record", "/dev/stdout", "")
	flag.Parse()
	out, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	f, err := newField(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	background.Go(func() {
		<-ended
		f.end()
		os.Exit(2)
	})
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	f.log("case %s, trouble %v", *name, *trouble)
	code := func() int {
		defer f.end()
		broken, err := run(f, *trouble)
		switch {
		case err != nil:
			f.log("could not run: %v", err)
			return 2
		case broken:
			f.log("RESULT: the rule was broken")
			return 1
		}
		f.log("RESULT: the rule held")
		return 0
	}()
	os.Exit(code)
}

// field is a small deployment.
type field struct {
	store   *store
	routers []*router
	runners []*runner
	seeds   []string
	dir     string
	began   time.Time

	mu  sync.Mutex
	out *os.File
}

func newField(out *os.File) (*field, error) {
	dir, err := os.MkdirTemp("", "rig3")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	f := &field{store: s, dir: dir, began: time.Now(), out: out}
	s.put("op", "config", configuration(3))
	return f, nil
}

// log writes a line to the record.
func (f *field) log(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.out, "%8.3f  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// addRunners starts runners.
func (f *field) addRunners(service string, n int) error {
	for i := range n {
		x, err := newRunner(f.store, fmt.Sprintf("i-%s-%d", service, i), service, fmt.Sprintf("z%d", i%3), "127.0.0.1")
		if err != nil {
			return err
		}
		f.runners = append(f.runners, x)
	}
	return nil
}

// addRouters starts routers, and waits until they are ready.
func (f *field) addRouters(n int) error {
	base, err := freeBase(n)
	if err != nil {
		return err
	}
	for i := range min(n, 3) {
		f.seeds = append(f.seeds, fmt.Sprintf("%s.%d:%d", base, i+1, peerPort))
	}
	for i := range n {
		r := newRouter(base, i+1)
		if err := r.start(f.store, f.seeds, f.dir); err != nil {
			return err
		}
		f.routers = append(f.routers, r)
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, r := range f.routers {
		for !f.isReady(r) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (f *field) isReady(r *router) bool {
	res, err := readyClient.Get("http://" + r.ready + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// end ends all processes.
func (f *field) end() {
	for _, r := range f.routers {
		r.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, f.dir)
	}
}

// runs returns how many requests have run.
func (f *field) runs() int {
	n := 0
	for _, x := range f.runners {
		x.mu.Lock()
		n += len(x.ran)
		x.mu.Unlock()
	}
	return n
}

// hasRun reports whether a runner has run a request.
func (f *field) hasRun(id string) bool {
	for _, x := range f.runners {
		x.mu.Lock()
		n := x.ran[id]
		x.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}
