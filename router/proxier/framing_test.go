package proxier_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
)

// framing is how an endpoint shows where its answer ends.
type framing string

// The framings.
const (
	untilClose framing = "connection"
	withLength framing = "length"
	inChunks   framing = "chunks"
)

// ending is where an endpoint ends its connection.
type ending string

// The endings.
const (
	wholeAnswer   ending = "whole"
	insideEvent   ending = "inside an event"
	betweenEvents ending = "between events"
)

const (
	eventType = "text/event-stream"
	// lastOfAnswer is the number of events of each answer.
	lastOfAnswer = 4
)

// eventsBetween returns the events after one up to another.
func eventsBetween(after, last int) string {
	var b strings.Builder
	for i := after + 1; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// writeFramed writes an answer of which only the first n bytes of the body are sent, and ends the
// connection unless all are.
func writeFramed(w io.Writer, f framing, contentType, body string, n int) {
	head := "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Type: " + contentType + "\r\n"
	switch f {
	case untilClose:
		fmt.Fprint(w, head+"\r\n"+body[:n])
	case withLength:
		fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body[:n])
	case inChunks:
		fmt.Fprint(w, head+"Transfer-Encoding: chunked\r\n\r\n")
		writeChunk(w, body[:n])
		if n == len(body) {
			fmt.Fprint(w, "0\r\n\r\n")
		}
	}
	if f == untilClose || n < len(body) {
		w.(net.Conn).Close()
	}
}

// answerEvents returns a serve function that answers with the events after the requested one.
func answerEvents(f framing, e ending) func(int, io.Writer) {
	return func(after int, w io.Writer) {
		body := eventsBetween(after, lastOfAnswer)
		n := len(body)
		switch e {
		case insideEvent:
			n = len(eventsBetween(after, 2)) + 5
		case betweenEvents:
			n = len(eventsBetween(after, 2))
		}
		writeFramed(w, f, eventType, body, n)
	}
}

// TestStreamCutOffLooksComplete guards against passing a stream that its endpoint cut off on as a
// complete answer, whichever service the route names and however the endpoint shows where its answer ends.
func TestStreamCutOffLooksComplete(t *testing.T) {
	want := eventsBetween(0, lastOfAnswer)
	for _, engine := range []bool{false, true} {
		for _, repetition := range []cataloguer.Repetition{cataloguer.Resumable, cataloguer.AtMostOnce} {
			for _, f := range []framing{untilClose, withLength, inChunks} {
				for _, e := range []ending{wholeAnswer, insideEvent, betweenEvents} {
					if f == untilClose && e == betweenEvents {
						// Nothing tells this from a complete stream.
						continue
					}
					t.Run(fmt.Sprintf("engine %t, %s, by %s, %s", engine, repetition, f, e), func(t *testing.T) {
						runs := atomic.Int64{}
						answer := func(after int, w io.Writer) {
							if runs.Add(1) == 1 {
								answerEvents(f, e)(after, w)
								return
							}
							answerEvents(f, wholeAnswer)(after, w)
						}
						x := newFixture(repetition, engine, newEndpoint(t, "a", answer), newEndpoint(t, "b", answer))
						x.route.Streams = true
						w, started, err := x.serve(context.Background(), 2*time.Second)
						got := w.Body.String()
						if e == wholeAnswer || repetition == cataloguer.Resumable {
							if got != want || err != nil {
								t.Errorf("got %q and error %v, want all events once", got, err)
							}
							return
						}
						if err == nil || !started || got != eventsBetween(0, 2) {
							t.Errorf("got %q, started %t and error %v, want two events and an error", got, started, err)
						}
						if got := runs.Load(); got != 1 {
							t.Errorf("got %d runs of a request that may run once", got)
						}
					})
				}
			}
		}
	}
}

// signallingWriter closes written once a part of a body was written.
type signallingWriter struct {
	*httptest.ResponseRecorder
	written chan struct{}
	once    sync.Once
}

// Write writes a part of the body.
func (w *signallingWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.written) })
	return w.ResponseRecorder.Write(p)
}

// TestEventsHeldUntilLast guards against holding the events of a stream back until the last one has
// arrived.
func TestEventsHeldUntilLast(t *testing.T) {
	for _, engine := range []bool{false, true} {
		t.Run(fmt.Sprintf("engine %t", engine), func(t *testing.T) {
			w := &signallingWriter{
				ResponseRecorder: httptest.NewRecorder(),
				written:          make(chan struct{}),
			}
			e := newEndpoint(t, "e", func(_ int, c io.Writer) {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Type: text/event-stream\r\n\r\n"+eventsBetween(0, 1))
				select {
				case <-w.written:
				case <-time.After(time.Second):
					t.Error("got no event while the endpoint waits, want the first one")
				}
				fmt.Fprint(c, eventsBetween(1, lastOfAnswer))
				c.(net.Conn).Close()
			})
			f := newFixture(cataloguer.AtMostOnce, engine, e)
			f.route.Streams = true
			_, err := f.proxier.Serve(context.Background(), w, f.job(2*time.Second))
			if got, want := w.Body.String(), eventsBetween(0, lastOfAnswer); got != want || err != nil {
				t.Errorf("got %q and error %v, want %q", got, err, want)
			}
		})
	}
}

// TestIncreasingIdsOfPlainService requires that the ids of a plain service's events need not be
// consecutive, until another run goes on with a stream whose ids were: then one that is missing is lost.
func TestIncreasingIdsOfPlainService(t *testing.T) {
	const sparse = "id: 10\ndata: x\n\nid: 20\ndata: y\n\n"
	for name, test := range map[string]struct {
		first, second, want string
		whole               bool
	}{
		"one run":            {first: sparse, want: sparse, whole: true},
		"resumed":            {first: sparse + "id: 3", second: "id: 30\ndata: z\n\n", want: sparse + "id: 30\ndata: z\n\n", whole: true},
		"resumed with a gap": {first: eventsBetween(0, 2) + "id: 3", second: eventsBetween(3, 4), want: eventsBetween(0, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			answer := func(after int, w io.Writer) {
				body := test.first
				if after > 0 {
					body = test.second
				}
				writeFramed(w, untilClose, eventType, body, len(body))
			}
			f := newFixture(cataloguer.Resumable, false, newEndpoint(t, "a", answer), newEndpoint(t, "b", answer))
			f.route.Streams = true
			w, _, err := f.serve(context.Background(), time.Second)
			if got := w.Body.String(); got != test.want || (err == nil) != test.whole {
				t.Errorf("got %q and error %v, want %q and whole %t", got, err, test.want, test.whole)
			}
		})
	}
}

// TestBodyTakenForEvents guards against treating an answer as a series of events that is none: that of a
// route that is no stream, to a service with an engine or without, or one of another type.
func TestBodyTakenForEvents(t *testing.T) {
	const body = `{"state":"cut"}`
	for name, test := range map[string]struct {
		engine, streams bool
		contentType     string
	}{
		"no stream, engine":    {engine: true, contentType: "application/json"},
		"no stream, no engine": {contentType: "application/json"},
		"stream of JSON":       {streams: true, contentType: "application/json"},
	} {
		for _, f := range []framing{untilClose, withLength, inChunks} {
			t.Run(fmt.Sprintf("%s, by %s", name, f), func(t *testing.T) {
				e := newEndpoint(t, "e", func(_ int, w io.Writer) { writeFramed(w, f, test.contentType, body, len(body)) })
				x := newFixture(cataloguer.AtMostOnce, test.engine, e)
				x.route.Streams = test.streams
				w, _, err := x.serve(context.Background(), 2*time.Second)
				if got := w.Body.String(); got != body || w.Code != http.StatusOK || err != nil {
					t.Errorf("got status %d, %q and error %v, want 200 and %q", w.Code, got, err, body)
				}
			})
		}
	}
}

// TestShortBodyLooksComplete guards against passing a part of a body on as the whole one if the endpoint
// stated its length or sent it in chunks.
func TestShortBodyLooksComplete(t *testing.T) {
	const body = `{"state":"cut"}`
	for _, engine := range []bool{false, true} {
		for _, f := range []framing{withLength, inChunks} {
			t.Run(fmt.Sprintf("engine %t, by %s", engine, f), func(t *testing.T) {
				e := newEndpoint(t, "e", func(_ int, w io.Writer) { writeFramed(w, f, "application/json", body, 5) })
				x := newFixture(cataloguer.AtMostOnce, engine, e)
				x.route.Streams = false
				w, started, err := x.serve(context.Background(), 2*time.Second)
				if err == nil || started {
					t.Errorf("got %q, started %t and error %v, want an error alone", w.Body.String(), started, err)
				}
			})
		}
	}
}
