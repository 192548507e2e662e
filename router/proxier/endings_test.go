package proxier_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/proxier"
	"heatherhold.dev/router/quarantiner"
)

// chunk returns a chunk with an event.
func chunk(id int) string {
	event := fmt.Sprintf("id: %d\ndata: x\n\n", id)
	return fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
}

// endings are how far the endpoints get with their answers before they end.
var endings = map[string]string{
	"nothing":              "",
	"part of the header":   streamHeader[:40],
	"header":               streamHeader,
	"an event":             streamHeader + chunk(1),
	"an event and a half":  streamHeader + chunk(1) + "10\r\nid: 2\nda",
	"events without an id": streamHeader + "a\r\ndata: x\n\n\r\n",
}

// newMortalModel returns a proxier for a model whose endpoints send a part of their answer to the
// deadly request and end.
func newMortalModel(t *testing.T, part string) (*fixture, []*mortal) {
	t.Helper()
	fleet := newCrashingFleet(t, "", 0)
	f := newFixture(cataloguer.Resumable, true)
	f.proxier.Tickets = fleet
	f.proxier.Orderer = fleet
	var endpoints []*mortal
	for _, name := range strings.Split("abcdefghijklmnop", "") {
		m := newMortal(t, name, part, streamHeader+chunk(1)+"0\r\n\r\n")
		endpoints = append(endpoints, m)
		fleet.alive = append(fleet.alive, identifier.Stage{
			EndpointIncarnation: m.EndpointIncarnation,
			Address:             m.Address,
			To:                  4,
		})
	}
	fleet.ended = func(address string) bool {
		return slices.ContainsFunc(endpoints, func(m *mortal) bool { return m.Address == address && m.ended.Load() })
	}
	return f, endpoints
}

// TestStreamSentOnHoweverItsAnswersEnd guards against sending one request to endpoint after
// endpoint because of how much of its answer each of them sends before it ends.
func TestStreamSentOnHoweverItsAnswersEnd(t *testing.T) {
	for name, part := range endings {
		t.Run(name, func(t *testing.T) {
			f, endpoints := newMortalModel(t, part)
			for range 8 {
				_ = serveBody(f, deadlyBody)
				if err := serveBody(f, "sound"); err != nil {
					t.Errorf("got error %v for a sound request, want none", err)
				}
			}
			if got := countEnded(endpoints); got == 0 || got > maxLostToRequest {
				t.Errorf("got %d endpoints ended under one request, want 1 to %d", got, maxLostToRequest)
			}
		})
	}
}

// TestGroupOfLoadedEndpointsCondemnsRequests requires that endpoints that end together, each with
// streams that have just begun, condemn neither a request nor a part, and that streams with events
// go on at once.
func TestGroupOfLoadedEndpointsCondemnsRequests(t *testing.T) {
	const streams = 8
	spare := newEndpoint(t, "spare", func(_ int, w io.Writer) {
		io.WriteString(w, strings.Replace(streamHeader, "Content-Type", "Connection: close\r\nContent-Type", 1))
		io.WriteString(w, chunk(2)+chunk(3)+"0\r\n\r\n")
	})
	q := &queueingTickets{
		first: make(map[string][]identifier.Stage),
		then:  []identifier.Stage{stage(spare, 0, 4)},
	}
	f := newFixture(cataloguer.Resumable, true)
	f.proxier.Tickets = q
	f.proxier.Retries.Ratio = 1
	f.proxier.Retries.Burst = 4 * streams
	end := make(chan struct{})
	var lost []string
	for i := range 4 {
		var e *endpoint
		e = newEndpoint(t, fmt.Sprint("lost", i), func(_ int, w io.Writer) {
			io.WriteString(w, streamHeader+chunk(1))
			<-end
			e.stop()
			dropConnection(0, w)
		})
		lost = append(lost, e.Address)
		for j := range streams {
			q.first[fmt.Sprintf("r%d-%d.1", i, j)] = []identifier.Stage{stage(e, 0, 4)}
		}
	}
	f.proxier.Orderer = silentOrders{
		orders: f.orders,
		silent: lost,
	}
	var group errgroup.Group
	for i := range 4 {
		for j := range streams {
			group.Go(func() error {
				id := fmt.Sprintf("r%d-%d", i, j)
				start := time.Now()
				w := httptest.NewRecorder()
				_, err := f.proxier.Serve(context.Background(), w, proxier.Job{
					Request: &courier.Request{
						ID:     identifier.Request(id),
						Method: http.MethodPost,
						Host:   "h",
						URI:    "/" + id,
						Parts:  []identifier.Part{identifier.Part(fmt.Sprint("p", j))},
					},
					Route:    &f.route,
					Service:  "s",
					Engine:   f.engine,
					Deadline: time.Now().Add(3 * time.Second),
				})
				if err != nil || !strings.Contains(w.Body.String(), "id: 3") {
					t.Errorf("%s: got %q and error %v, want all events", id, w.Body.String(), err)
				}
				if got, want := time.Since(start), time.Second; got > want {
					t.Errorf("%s: got the answer after %v, want it within %v", id, got, want)
				}
				return nil
			})
		}
	}
	time.Sleep(100 * time.Millisecond)
	close(end)
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	for key, v := range f.proxier.Quarantiner.Verdicts(time.Now().Add(quarantiner.SettleTime)) {
		t.Errorf("got verdict %+v on %s, want none", v, key)
	}
}
