package main_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// loadResult counts how the requests of a load ended.
type loadResult struct {
	served  atomic.Int64
	refused atomic.Int64
	// notTaken counts those whose connection was closed before they ran.
	notTaken atomic.Int64
}

// sendAll sends at most limit requests over c, one after another, until the router closes it or says
// that it will. It fails if the answer to a request is false, or is missing although the request ran.
func (l *loadResult) sendAll(c net.Conn, worker string, limit int, ran func(string) bool) error {
	defer c.Close()
	responses := bufio.NewReader(c)
	for n := range limit {
		path := fmt.Sprintf("/once/%s-%d", worker, n)
		if _, err := io.WriteString(c, header("POST", path, "X-Deadline-Ms: 20000")); err != nil {
			l.notTaken.Add(1)
			return nil
		}
		res, err := http.ReadResponse(responses, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
			res.Body.Close()
		}
		switch {
		case err != nil && ran(path):
			return fmt.Errorf("%s ran and got no answer: %w", path, err)
		case err != nil:
			l.notTaken.Add(1)
			return nil
		case res.StatusCode == http.StatusServiceUnavailable && ran(path):
			return fmt.Errorf("%s ran and was refused", path)
		case res.StatusCode == http.StatusServiceUnavailable:
			l.refused.Add(1)
		case res.StatusCode == http.StatusOK:
			l.served.Add(1)
		default:
			return fmt.Errorf("%s got status %d, want 200 or 503", path, res.StatusCode)
		}
		if res.Close {
			return nil
		}
	}
	return nil
}

// pathSet is a set of paths. The zero value is empty.
type pathSet struct {
	mu    sync.Mutex
	paths map[string]bool
}

func (s *pathSet) add(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paths == nil {
		s.paths = make(map[string]bool)
	}
	s.paths[path] = true
}

func (s *pathSet) has(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paths[path]
}

// TestRequestLostInStopUnderLoad guards against requests that get no answer, or a false one, while the
// router is hung up on several times and then stopped under load. Some callers keep their connection,
// others open one for each request; all go on until the router no longer takes connections.
func TestRequestLostInStopUnderLoad(t *testing.T) {
	const (
		workers = 8
		notice  = 500 * time.Millisecond
		finish  = 4 * time.Second
	)
	var ran pathSet
	s := newStoreSystem(t, notice, finish, func(w http.ResponseWriter, r *http.Request) {
		ran.add(r.URL.Path)
		time.Sleep(3 * time.Millisecond)
		fmt.Fprint(w, "done")
	}, hold)
	var load loadResult
	var group errgroup.Group
	dial := func() (net.Conn, error) {
		c, err := net.Dial("tcp", s.caller)
		if err == nil {
			err = c.SetDeadline(time.Now().Add(waitLimit))
		}
		return c, err
	}
	for worker := range workers {
		limit := 1
		if worker%2 == 0 {
			limit = 1_000_000
		}
		group.Go(func() error {
			for n := 0; ; n++ {
				c, err := dial()
				if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
					return nil
				}
				if err != nil {
					return err
				}
				if err := load.sendAll(c, fmt.Sprintf("%d-%d", worker, n), limit, ran.has); err != nil {
					return err
				}
			}
		})
	}
	for range 5 {
		time.Sleep(100 * time.Millisecond)
		s.signal(t, syscall.SIGHUP)
	}
	began := time.Now()
	s.signal(t, syscall.SIGTERM)
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	s.awaitExit(t, began, finish)
	if got := load.served.Load(); got < 100 {
		t.Errorf("got %d requests served, want 100 or more", got)
	}
	t.Logf("served %d, refused %d, not taken %d", load.served.Load(), load.refused.Load(), load.notTaken.Load())
}
