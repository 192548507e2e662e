package main_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// hold answers once the caller has gone.
func hold(_ http.ResponseWriter, r *http.Request) {
	<-r.Context().Done()
}

// holdStream sends one event and holds the rest back until the caller has gone.
func holdStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprint(w, "id: 1\ndata: a\n\n")
	if err := http.NewResponseController(w).Flush(); err == nil {
		<-r.Context().Done()
	}
}

// awaitExit waits until the router has exited, and requires that its stop took at most limit.
func (s *storeSystem) awaitExit(t *testing.T, began time.Time, limit time.Duration) {
	t.Helper()
	select {
	case <-s.done:
	case <-time.After(waitLimit):
		t.Fatal("the router did not stop")
	}
	if got := time.Since(began); got > limit {
		t.Errorf("the stop took %v, want at most %v", got, limit)
	}
	if code := s.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("got exit code %d, want 0", code)
	}
}

// TestRequestCutAtEndOfPlannedStop guards against connections that are closed without an answer
// at the end of a planned stop. Each request outlasts the stop.
func TestRequestCutAtEndOfPlannedStop(t *testing.T) {
	const (
		notice = time.Second
		finish = 4 * time.Second
	)
	s := newStoreSystem(t, notice, finish, hold, holdStream)
	const long = "X-Deadline-Ms: 25000"
	before := map[string]<-chan answer{
		"at most once, sent before the stop":  s.send(t, header("POST", "/once/1", long)),
		"idempotent, sent before the stop":    s.send(t, header("GET", "/again/1", long)),
		"HTTP/1.0, sent before the stop":      s.send(t, strings.Replace(header("GET", "/again/2", long), "HTTP/1.1", "HTTP/1.0", 1)),
		"HTTP/1.0 kept, sent before the stop": s.send(t, strings.Replace(header("GET", "/again/3", long, "Connection: keep-alive"), "HTTP/1.1", "HTTP/1.0", 1)),
	}
	before["followed by a second request"] = s.send(t, header("POST", "/once/4", long)+strings.Repeat(header("POST", "/once/5", long), 20))
	stream := s.send(t, header("POST", "/draft/1", long, "X-Model: x", "X-Token-Count: 10,5"))
	time.Sleep(300 * time.Millisecond)
	waiting := s.send(t, header("POST", "/draft/2", long, "X-Model: x", "X-Token-Count: 10,5"))
	body := s.dial(t)
	io.WriteString(body, header("POST", "/once/2", long, "Content-Length: 10")+"half")
	expected := s.dial(t)
	io.WriteString(expected, header("POST", "/once/6", long, "Content-Length: 10", "Expect: 100-continue"))
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	s.signal(t, syscall.SIGTERM)
	time.Sleep(notice / 2)
	before["at most once, sent late"] = s.send(t, header("POST", "/once/3", long))
	for name, answers := range before {
		if got, want := <-answers, http.StatusGatewayTimeout; got.err != nil || got.status != want {
			t.Errorf("%s: got status %d, error %v; want a complete answer with %d", name, got.status, got.err, want)
		}
	}
	for name, answers := range map[string]<-chan answer{
		"waits for a chain": waiting,
		"unread body":       s.await(body),
		"expects 100":       s.await(expected),
	} {
		got := <-answers
		if want := http.StatusServiceUnavailable; got.err != nil || got.status != want || got.retryAfter == "" {
			t.Errorf("%s: got status %d, Retry-After %q, error %v; want a complete answer with %d", name, got.status, got.retryAfter, got.err, want)
		}
	}
	got := <-stream
	if got.status != http.StatusOK || got.body != "id: 1\ndata: a\n\n" || got.err == nil {
		t.Errorf("stream: got %d, %q, error %v; want its events and an end that does not look complete", got.status, got.body, got.err)
	}
	if earliest := began.Add(finish * 3 / 4); got.at.Before(earliest) {
		t.Errorf("the stream ended %v before the last quarter of the time to finish", earliest.Sub(got.at))
	}
	s.awaitExit(t, began, finish)
}

// TestLongRequestTakenDuringPlannedStop guards against requests that are passed on although the
// planned stop leaves less time than requests of their service usually take. The service answers
// after two seconds, or at once if the path asks for it.
func TestLongRequestTakenDuringPlannedStop(t *testing.T) {
	const (
		notice = time.Second
		finish = 3 * time.Second
	)
	var late atomic.Int64
	s := newStoreSystem(t, notice, finish, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/late") {
			late.Add(1)
		}
		time.Sleep(2 * time.Second)
		fmt.Fprint(w, "done")
	}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: a\n\n")
	})
	const long = "X-Deadline-Ms: 25000"
	const model = "X-Token-Count: 10,5"
	var earlier []<-chan answer
	for i := range 12 {
		earlier = append(earlier, s.send(t, header("POST", fmt.Sprintf("/once/%d", i), long)))
	}
	for i := range 12 {
		if got := <-s.send(t, header("POST", fmt.Sprintf("/draft/%d", i), long, "X-Model: x", model)); got.status != http.StatusOK || got.err != nil {
			t.Fatalf("stream before the stop: got %+v, want 200", got)
		}
	}
	for _, answers := range earlier {
		if got := <-answers; got.status != http.StatusOK || got.err != nil {
			t.Fatalf("request before the stop: got %+v, want 200", got)
		}
	}
	began := time.Now()
	s.signal(t, syscall.SIGTERM)
	time.Sleep(notice * 3 / 4)
	sent := time.Now()
	if got := <-s.send(t, header("POST", "/once/late", long)); got.status != http.StatusServiceUnavailable || got.retryAfter == "" || !got.close || got.at.Sub(sent) > notice {
		t.Errorf("long request: got %+v, want 503 at once, with Retry-After and Connection: close", got)
	}
	if got := <-s.send(t, header("POST", "/draft/late", long, "X-Model: x", model)); got.status != http.StatusOK || got.err != nil {
		t.Errorf("short stream: got %+v, want it to be served", got)
	}
	if got := <-s.send(t, header("POST", "/once/own", "X-Deadline-Ms: 300")); got.status != http.StatusGatewayTimeout {
		t.Errorf("request whose own deadline comes first: got %+v, want it to be passed on", got)
	}
	s.awaitExit(t, began, finish)
	if got := late.Load(); got != 0 {
		t.Errorf("the endpoint got the long request %d times, want 0", got)
	}
}

// TestRequestDroppedAfterNotice guards against connections that are closed without an answer although
// the router reads the request: its last bytes arrive once the notice of a planned stop is over.
func TestRequestDroppedAfterNotice(t *testing.T) {
	const (
		notice = time.Second
		finish = 4 * time.Second
	)
	s := newStoreSystem(t, notice, finish, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			time.Sleep(2 * time.Second)
		}
		fmt.Fprint(w, "done")
	}, hold)
	request := header("POST", "/once/late", "X-Deadline-Ms: 25000")
	half := len(request) / 2
	kept := s.dial(t)
	io.WriteString(kept, header("POST", "/once/first", "X-Deadline-Ms: 25000"))
	if got := readAnswer(kept); got.status != http.StatusOK || got.close {
		t.Fatalf("got %+v, want 200 on a kept connection", got)
	}
	idle := s.dial(t)
	io.WriteString(idle, header("POST", "/once/second", "X-Deadline-Ms: 25000"))
	if got := readAnswer(idle); got.status != http.StatusOK || got.close {
		t.Fatalf("got %+v, want 200 on a kept connection", got)
	}
	slow := s.send(t, header("POST", "/once/slow", "X-Deadline-Ms: 25000"))
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	s.signal(t, syscall.SIGTERM)
	time.Sleep(notice - 200*time.Millisecond)
	fresh := s.dial(t)
	started := s.dial(t)
	io.WriteString(kept, request[:half])
	io.WriteString(started, request[:half])
	time.Sleep(400 * time.Millisecond)
	io.WriteString(kept, request[half:])
	io.WriteString(started, request[half:])
	io.WriteString(fresh, request)
	for name, answers := range map[string]<-chan answer{
		"header begun on a kept connection": s.await(kept),
		"header begun on a new connection":  s.await(started),
		"new connection without a byte":     s.await(fresh),
	} {
		got := <-answers
		if got.err != nil || got.status != http.StatusServiceUnavailable || !got.close {
			t.Errorf("%s: got status %d, close %v, error %v; want 503 with Connection: close", name, got.status, got.close, got.err)
		}
	}
	if got := <-s.await(idle); !errors.Is(got.err, io.ErrUnexpectedEOF) || got.at.Sub(began) > 2*notice {
		t.Errorf("idle connection: got error %v after %v, want it closed soon after the notice", got.err, got.at.Sub(began))
	}
	if got := <-slow; got.status != http.StatusOK || got.err != nil || !got.close {
		t.Errorf("request from before the stop: got %+v, want 200 with Connection: close", got)
	}
	s.awaitExit(t, began, finish)
}

// TestStreamWithoutEventCutAtEndOfPlannedStop guards against a connection that is closed without an
// answer because the endpoint has sent the header of a stream and no event.
func TestStreamWithoutEventCutAtEndOfPlannedStop(t *testing.T) {
	const (
		notice = 300 * time.Millisecond
		finish = 2 * time.Second
	)
	arrived := make(chan bool, 1)
	s := newStoreSystem(t, notice, finish, hold, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		arrived <- true
		<-r.Context().Done()
	})
	stream := s.send(t, header("POST", "/draft/1", "X-Deadline-Ms: 25000", "X-Model: x", "X-Token-Count: 10,5"))
	<-arrived
	began := time.Now()
	s.signal(t, syscall.SIGTERM)
	if got, want := <-stream, http.StatusGatewayTimeout; got.err != nil || got.status != want || got.stamp != "" {
		t.Errorf("got status %d, signature %q, error %v; want a complete answer with %d and no signature", got.status, got.stamp, got.err, want)
	}
	s.awaitExit(t, began, finish)
}
