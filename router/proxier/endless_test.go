package proxier_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/router/proxier"
)

const (
	// endlessTimeout is the callers' timeout in tests of endless responses, and
	// abortLimit the time within which such a response must be aborted.
	endlessTimeout = 5 * time.Second
	abortLimit     = 1500 * time.Millisecond
	// bufferLimit is the limit for all buffered responses together, and
	// heapGrowthLimit the limit for the growth of the heap including garbage that is
	// not yet collected, in bytes.
	bufferLimit     = 16 << 20
	heapGrowthLimit = 4 * bufferLimit
)

// endless returns a serve function whose response begins with start and repeats
// piece until the connection is closed.
func endless(start, piece string) func(int, io.Writer) {
	block := []byte(strings.Repeat(piece, 16<<10/len(piece)+1))
	return func(_ int, w io.Writer) {
		io.WriteString(w, "HTTP/1.1 "+start)
		for {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}
}

// endlessResponses are serve functions whose responses never end.
var endlessResponses = map[string]func(int, io.Writer){
	"length":     endless("200 OK\r\nId: r1\r\nStamp: s\r\nContent-Length: 9000000000000\r\n\r\n", "x"),
	"chunks":     endless("200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1<<10)+"\r\n"),
	"extension":  endless("200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"),
	"trailer":    endless("200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "X: a\r\n"),
	"to the end": endless("200 OK\r\nId: r1\r\nStamp: s\r\n\r\n", "x"),
	"failure":    endless("500 X\r\nId: r1\r\nStamp: s\r\n\r\n", "x"),
	"header":     endless("200 OK\r\nId: r1\r\nStamp: s\r\nX: ", "x"),
}

// requireClosed requires that the endpoint's connection is closed within
// abortLimit.
func requireClosed(t *testing.T, e *endpoint) {
	t.Helper()
	select {
	case <-e.closed:
	case <-time.After(abortLimit):
		t.Errorf("the connection to %s is still open %v after the response", e.Endpoint.Endpoint, abortLimit)
	}
}

// TestEndlessPlain guards against endless responses that are read until the
// deadline, or that are reported as a request that did not run.
func TestEndlessPlain(t *testing.T) {
	for name, serve := range endlessResponses {
		t.Run("once, "+name, func(t *testing.T) {
			e := newEndpoint(t, "a", serve)
			f := newFixture(cataloguer.AtMostOnce, false, e)
			start := time.Now()
			_, started, err := f.serve(context.Background(), endlessTimeout)
			if started || kindOf(err) != classifier.OutcomeUnknown {
				t.Errorf("got error %v, started %v, want kind %q", err, started, classifier.OutcomeUnknown)
			}
			if got := time.Since(start); got > abortLimit {
				t.Errorf("got the error after %v, want it within %v", got, abortLimit)
			}
			requireClosed(t, e)
		})
		t.Run("idempotent, "+name, func(t *testing.T) {
			var calls atomic.Int64
			// Whichever endpoint is picked first sends the endless response.
			first := func(after int, w io.Writer) {
				if calls.Add(1) == 1 {
					serve(after, w)
					return
				}
				reply(http.StatusOK, "", "good")(after, w)
			}
			f := newFixture(cataloguer.Idempotent, false, newEndpoint(t, "a", first), newEndpoint(t, "b", first))
			start := time.Now()
			w, _, err := f.serve(context.Background(), endlessTimeout)
			if err != nil || w.Body.String() != "good" {
				t.Errorf("got %d bytes, %v, want the other endpoint's response", w.Body.Len(), err)
			}
			if got := time.Since(start); got > abortLimit {
				t.Errorf("got the response after %v, want it within %v", got, abortLimit)
			}
		})
	}
}

// TestEndlessRefusal guards against a refusal whose endless body delays the retry.
func TestEndlessRefusal(t *testing.T) {
	header := "503 X\r\nId: r1\r\nNot-Run: 1\r\n"
	for name, refuse := range map[string]func(int, io.Writer){
		"endless": endless(header+"\r\n", "x"),
		"silent":  func(_ int, w io.Writer) { io.WriteString(w, "HTTP/1.1 "+header+"Content-Length: 10\r\n\r\nx") },
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			first := func(after int, w io.Writer) {
				if calls.Add(1) == 1 {
					refuse(after, w)
					return
				}
				reply(http.StatusOK, "", "good")(after, w)
			}
			f := newFixture(cataloguer.AtMostOnce, false, newEndpoint(t, "a", first), newEndpoint(t, "b", first))
			before, start := totalAllocated(), time.Now()
			w, _, err := f.serve(context.Background(), endlessTimeout)
			if err != nil || w.Body.String() != "good" {
				t.Errorf("got %d bytes, %v, want the other endpoint's response", w.Body.Len(), err)
			}
			if got := time.Since(start); got > abortLimit {
				t.Errorf("got the response after %v, want it within %v", got, abortLimit)
			}
			if got, want := totalAllocated()-before, uint64(1<<20); got > want {
				t.Errorf("got %d bytes allocated, want at most %d", got, want)
			}
		})
	}
}

func totalAllocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// checkHeapGrowth serves n requests at once, which all must fail, and requires that the
// heap grows by no more than heapGrowthLimit meanwhile.
func checkHeapGrowth(t *testing.T, f *fixture, n int) {
	t.Helper()
	var once sync.Once
	got := heapPeak(func() {
		var group errgroup.Group
		for range n {
			group.Go(func() error {
				if _, _, err := f.serve(context.Background(), 2*time.Second); err == nil {
					once.Do(func() { t.Error("got a response, want an error") })
				}
				return nil
			})
		}
		group.Wait()
	})
	if got > heapGrowthLimit {
		t.Errorf("got %d bytes of heap growth, want at most %d", got, heapGrowthLimit)
	}
}

// heapPeak runs f and returns the largest sampled growth of the heap meanwhile, in
// bytes.
func heapPeak(f func()) uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	start, peak := m.HeapAlloc, m.HeapAlloc
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		for {
			select {
			case <-done:
				return nil
			case <-time.After(5 * time.Millisecond):
			}
			runtime.GC()
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
		}
	})
	f()
	close(done)
	group.Wait()
	return peak - start
}

// TestManyEndlessPlain guards against many endless responses that together exhaust
// the memory of an instance.
func TestManyEndlessPlain(t *testing.T) {
	// Each response stays below the size limit of one response and keeps its
	// connection open.
	big := []byte(strings.Repeat("x", 6<<20))
	e := newEndpoint(t, "a", func(_ int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Length: 9000000000000\r\n\r\n")
		w.Write(big)
	})
	f := newFixture(cataloguer.AtMostOnce, false, e)
	f.proxier.MaxBufferedBytes = bufferLimit
	checkHeapGrowth(t, f, 60)
}

// TestLargeResponsesAlongsideEndless guards against endless responses that leave no
// buffer memory for finite responses of several MiB.
func TestLargeResponsesAlongsideEndless(t *testing.T) {
	large := strings.Repeat("y", 3<<20)
	good := newEndpoint(t, "a", reply(http.StatusOK, "Connection: close\r\n", large))
	bad := newEndpoint(t, "b", endlessResponses["length"])
	f := newFixture(cataloguer.AtMostOnce, false, good)
	v := *f.proxier.Publisher.View()
	v.Fleet["bad"] = []cataloguer.Endpoint{bad.Endpoint}
	v.Site.Services["bad"] = cataloguer.Service{Name: "bad"}
	f.proxier.Publisher.Publish(&v)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	for range 8 {
		group.Go(func() error {
			for ctx.Err() == nil {
				f.proxier.Serve(ctx, httptest.NewRecorder(), proxier.Job{
					Request:  &courier.Request{ID: "r1"},
					Route:    &f.route,
					Service:  "bad",
					Deadline: time.Now().Add(endlessTimeout),
				})
			}
			return nil
		})
	}
	for range 10 {
		if w, _, err := f.serve(context.Background(), endlessTimeout); err != nil || w.Body.String() != large {
			t.Errorf("got %d bytes, %v, want %d", w.Body.Len(), err, len(large))
		}
	}
	cancel()
	group.Wait()
}

// TestEndlessNonStreamResponse guards against an endless response to a stream's
// request that is not an event stream: its bytes would be forwarded until the
// deadline.
func TestEndlessNonStreamResponse(t *testing.T) {
	for name, serve := range map[string]func(int, io.Writer){
		"length":     endless("404 X\r\nId: r1\r\nStamp: s\r\nContent-Length: 9000000000000\r\n\r\n", "x"),
		"chunks":     endless("404 X\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1<<10)+"\r\n"),
		"to the end": endless("500 X\r\nId: r1\r\nStamp: s\r\n\r\n", "x"),
	} {
		t.Run("once, "+name, func(t *testing.T) {
			e := newEndpoint(t, "a", serve)
			f := newFixture(cataloguer.AtMostOnce, true, e)
			start := time.Now()
			w, started, err := f.serve(context.Background(), endlessTimeout)
			if started || w.Body.Len() > 0 || kindOf(err) != classifier.OutcomeUnknown {
				t.Errorf("got %d bytes, error %v, started %v, want kind %q", w.Body.Len(), err, started, classifier.OutcomeUnknown)
			}
			if got := time.Since(start); got > abortLimit {
				t.Errorf("got the error after %v, want it within %v", got, abortLimit)
			}
			requireClosed(t, e)
		})
		t.Run("resumable, "+name, func(t *testing.T) {
			f := newFixture(cataloguer.Resumable, true, newEndpoint(t, "a", serve), newEndpoint(t, "b", streamEvents(3, true)))
			start := time.Now()
			w, _, err := f.serve(context.Background(), endlessTimeout)
			if got, want := ids(w.Body.String()), "1 2 3"; err != nil || got != want {
				t.Errorf("got events %.20q in %d bytes, %v, want %q", got, w.Body.Len(), err, want)
			}
			if got := time.Since(start); got > abortLimit {
				t.Errorf("got the response after %v, want it within %v", got, abortLimit)
			}
		})
	}
}

// TestNonStreamResponse requires that a complete response to a stream's request
// reaches the caller unchanged if it is not an event stream.
func TestNonStreamResponse(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusInternalServerError} {
		f := newFixture(cataloguer.AtMostOnce, true, newEndpoint(t, "a", reply(status, "", "why")))
		w, _, err := f.serve(context.Background(), endlessTimeout)
		if err != nil || w.Code != status || w.Body.String() != "why" || w.Header().Get("Stamp") != "s" {
			t.Errorf("got status %d, body %q, headers %v, %v, want the endpoint's response with status %d", w.Code, w.Body, w.Header(), err, status)
		}
	}
}

// endlessAfter returns a serve function that writes a stream of events up to last
// and then repeats piece endlessly, in chunks of 1 KiB or more.
func endlessAfter(last int, piece string) func(int, io.Writer) {
	block := strings.Repeat(piece, 1<<10/len(piece)+1)
	return func(after int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := after + 1; i <= last; i++ {
			writeChunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
		}
		encoded := fmt.Appendf(nil, "%x\r\n%s\r\n", len(block), block)
		for {
			if _, err := w.Write(encoded); err != nil {
				return
			}
		}
	}
}

// TestEndlessEvents guards against streams that continue endlessly with bytes that
// contain no new event: callers would receive them until their deadline.
func TestEndlessEvents(t *testing.T) {
	for name, piece := range map[string]string{
		"line":        "x",
		"no id":       "data: x\n\n",
		"comments":    ": x\n\n",
		"blank lines": "\n",
		"noise":       "\x00\x01\n\n",
		"repeats":     "id: 1\ndata: 1\n\n",
	} {
		for _, last := range []int{0, 3} {
			if last == 0 && name == "repeats" {
				continue
			}
			want := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"
			t.Run(fmt.Sprintf("resumable, %s after %d", name, last), func(t *testing.T) {
				e := newEndpoint(t, "a", endlessAfter(last, piece))
				f := newFixture(cataloguer.Resumable, true, e, newEndpoint(t, "b", streamEvents(4, true)))
				start := time.Now()
				w, _, err := f.serve(context.Background(), endlessTimeout)
				if got := w.Body.String(); err != nil || got != want {
					t.Errorf("got %.100q in %d bytes, %v, want %q", got, len(got), err, want)
				}
				if got := time.Since(start); got > abortLimit {
					t.Errorf("got the response after %v, want it within %v", got, abortLimit)
				}
				requireClosed(t, e)
			})
			t.Run(fmt.Sprintf("once, %s after %d", name, last), func(t *testing.T) {
				e := newEndpoint(t, "a", endlessAfter(last, piece))
				f := newFixture(cataloguer.AtMostOnce, true, e)
				start := time.Now()
				w, started, err := f.serve(context.Background(), endlessTimeout)
				if got := w.Body.String(); !strings.HasPrefix(want, got) || !started || err == nil {
					t.Errorf("got %.100q in %d bytes, started %v, %v, want events and an error", got, len(got), started, err)
				}
				if got := time.Since(start); got > abortLimit {
					t.Errorf("got the error after %v, want it within %v", got, abortLimit)
				}
				requireClosed(t, e)
			})
		}
	}
}

// TestEventsWithoutID guards against events without an id that are dropped from a
// complete stream or reordered.
func TestEventsWithoutID(t *testing.T) {
	want := ": first\n\nid: 1\ndata: 1\n\n: more\n\ndata: x\n\nid: 2\ndata: 2\n\ndata: [DONE]\n\n"
	e := newEndpoint(t, "a", func(_ int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		writeChunk(w, want)
		fmt.Fprint(w, "0\r\n\r\n")
	})
	w, _, err := newFixture(cataloguer.Resumable, true, e).serve(context.Background(), endlessTimeout)
	if got := w.Body.String(); err != nil || got != want {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
}

// TestManyEndlessEvents guards against many streams with endless events that
// together exhaust the memory of an instance.
func TestManyEndlessEvents(t *testing.T) {
	// Each sends an event larger than any valid one and keeps its connection open.
	long := []byte("f0000\r\nid: 1\ndata: " + strings.Repeat("x", 0xf0000-12) + "\r\n")
	e := newEndpoint(t, "a", func(_ int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		w.Write(long)
	})
	f := newFixture(cataloguer.AtMostOnce, true, e)
	checkHeapGrowth(t, f, 100)
}

// TestEndpointDataNotLogged guards against log lines that quote long data sent by
// an endpoint.
func TestEndpointDataNotLogged(t *testing.T) {
	e := newEndpoint(t, "a", func(_ int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		writeChunk(w, "id: "+strings.Repeat("x", 30<<10)+"\n\n")
	})
	f := newFixture(cataloguer.AtMostOnce, true, e)
	var logged bytes.Buffer
	log := logrus.New()
	log.SetOutput(&logged)
	f.proxier.Log = log
	if _, _, err := f.serve(context.Background(), endlessTimeout); err == nil {
		t.Error("got no error, want one")
	}
	if got, want := logged.Len(), 2048; got > want {
		t.Errorf("got %d bytes of log, want at most %d", got, want)
	}
}

// idleCaller is a caller that reads nothing until it is released.
type idleCaller struct {
	*httptest.ResponseRecorder
	released <-chan struct{}
}

// Write blocks until the caller is released, and fails then.
func (c idleCaller) Write([]byte) (int, error) {
	<-c.released
	return 0, errors.New("the caller is gone")
}

// TestValidEventsWithoutEnd guards against valid events without end that are kept for hundreds of
// callers which read nothing.
func TestValidEventsWithoutEnd(t *testing.T) {
	data := strings.Repeat("x", 4<<10)
	e := newEndpoint(t, "a", func(_ int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for id := 1; ; id++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
		}
	})
	f := newFixture(cataloguer.AtMostOnce, true, e)
	released := make(chan struct{})
	got := heapPeak(func() {
		var group errgroup.Group
		for range 300 {
			group.Go(func() error {
				_, err := f.proxier.Serve(context.Background(), idleCaller{
					ResponseRecorder: httptest.NewRecorder(),
					released:         released,
				}, f.job(endlessTimeout))
				if err == nil {
					t.Error("got a complete answer, want an error")
				}
				return nil
			})
		}
		time.Sleep(2 * time.Second)
		close(released)
		group.Wait()
	})
	if got > heapGrowthLimit {
		t.Errorf("heap growth: got %d bytes, want at most %d", got, heapGrowthLimit)
	}
}
