package proxier_test

import (
	"context"
	"errors"
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
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/director"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
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

// TestRequestSentOnUnderOtherQueries guards against sending a request with the same path and body to
// endpoint after endpoint because its query differs each time. Requests with other bodies, or without
// one, are told apart.
func TestRequestSentOnUnderOtherQueries(t *testing.T) {
	f, endpoints := newMortals(t, 0)
	serve := func(uri, body string) error {
		_, err := f.proxier.Serve(context.Background(), httptest.NewRecorder(), proxier.Job{
			Request: &courier.Request{
				ID:     "r1",
				Method: http.MethodPost,
				Host:   "h",
				URI:    uri,
				Body:   []byte(body),
			},
			Route:    &f.route,
			Service:  "s",
			Deadline: time.Now().Add(2 * time.Second),
		})
		return err
	}
	for i := range 8 {
		_ = serve(fmt.Sprintf("/x?q=%d", i), deadlyBody)
		for _, body := range []string{"", "sound"} {
			if err := serve(fmt.Sprintf("/x?q=%d", i), body); err != nil {
				t.Errorf("body %q: got error %v for a sound request, want none", body, err)
			}
		}
	}
	if got := countEnded(endpoints); got == 0 || got > maxLostToRequest {
		t.Errorf("got %d endpoints ended under one request, want 1 to %d", got, maxLostToRequest)
	}
}

// TestPathSentOnUnderOtherQueries guards against sending a caller's requests without a body to endpoint after
// endpoint because their queries differ. Requests to other paths go on, and those to the same one as soon as one
// of them is answered.
func TestPathSentOnUnderOtherQueries(t *testing.T) {
	// The third request may be sent again before the crash under it counts.
	const maxLostToPath = maxLostToRequest + 1
	f, endpoints := newMortals(t, 0)
	get := func(customer identifier.Customer, uri string) error {
		_, err := f.proxier.Serve(context.Background(), httptest.NewRecorder(), proxier.Job{
			Request: &courier.Request{
				ID:     "r1",
				Method: http.MethodGet,
				Host:   "h",
				URI:    uri,
			},
			Customer: customer,
			Route:    &f.route,
			Service:  "s",
			Deadline: time.Now().Add(2 * time.Second),
		})
		return err
	}
	for i := range 8 {
		_ = get("a", fmt.Sprintf("%s?q=%d", deadlyPath, i))
		time.Sleep(quarantiner.SettleTime + 50*time.Millisecond)
		if err := get("a", fmt.Sprintf("/x?q=%d", i)); err != nil {
			t.Errorf("got error %v for a sound request, want none", err)
		}
	}
	if got := countEnded(endpoints); got == 0 || got > maxLostToPath {
		t.Errorf("got %d endpoints ended under one path, want 1 to %d", got, maxLostToPath)
	}
	if err := get("b", deadlyPath+"?q=0"); kindOf(err) == classifier.Quarantined {
		t.Errorf("got %v for another caller, want the request sent", err)
	}
}

// laterStages grants chains of one first stage and a later stage that is alive, in turn.
type laterStages struct {
	first identifier.Stage
	later []*mortal
	next  int
}

// Acquire grants the next chain.
func (l *laterStages) Acquire(_ context.Context, _ identifier.Service, ask *messenger.Ask) (*acquirer.Ticket, error) {
	for range l.later {
		m := l.later[l.next%len(l.later)]
		l.next++
		if m.ended.Load() {
			continue
		}
		return acquirer.NewTicket(ask, []identifier.Stage{l.first, {
			EndpointIncarnation: m.EndpointIncarnation,
			Address:             m.Address,
			From:                2,
			To:                  4,
		}}), nil
	}
	return nil, errors.New("no later stage is left")
}

// Report answers for the stages that are alive.
func (l *laterStages) Report(_ context.Context, address string) (director.Report, error) {
	for _, m := range l.later {
		if m.Address == address && m.ended.Load() {
			return director.Report{}, errors.New("connection refused")
		}
	}
	return director.Report{Slowdown: 1}, nil
}

// Repath is not used.
func (l *laterStages) Repath(context.Context, identifier.Request, []identifier.Stage) (string, error) {
	return "", director.ErrStageUnavailable
}

// TestRefusalThatNamesEndedStageForgotten guards against sending one request over stage after
// stage because the first one refuses it for each that ended under it.
func TestRefusalThatNamesEndedStageForgotten(t *testing.T) {
	l := &laterStages{}
	for i := range 12 {
		m := &mortal{}
		m.Endpoint.Endpoint = identifier.Endpoint(fmt.Sprint("later", i))
		m.Incarnation = 1
		m.Address = fmt.Sprintf("127.0.0.1:%d", i+1)
		l.later = append(l.later, m)
	}
	first := newEndpoint(t, "first", func(_ int, w io.Writer) {
		stage := l.later[(l.next-1)%len(l.later)]
		stage.ended.Store(true)
		fmt.Fprintf(w, "HTTP/1.1 503 X\r\nId: r1\r\nStamp: s\r\nNot-Run: 1\r\nAt-Fault: %s\r\nContent-Length: 0\r\n\r\n", stage.Address)
	})
	l.first = stage(first, 0, 2)
	f := newFixture(cataloguer.Resumable, true)
	f.proxier.Tickets = l
	f.proxier.Orderer = l
	for range 4 {
		_ = serveBody(f, deadlyBody)
	}
	if got := countEnded(l.later); got == 0 || got > maxLostToRequest {
		t.Errorf("got %d endpoints ended under one request, want 1 to %d", got, maxLostToRequest)
	}
}

// TestStageEndedUnderMovedStreamForgotten guards against a stage that ended under a stream that had just
// begun, and is charged to nothing because the stream was moved to another stage; and against
// charging a stream that had run for long.
func TestStageEndedUnderMovedStreamForgotten(t *testing.T) {
	for name, test := range map[string]struct {
		events int
		want   bool
	}{
		"just begun": {events: 1, want: true},
		"proven":     {events: 14, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			f, orders, tickets := newMovingFixture()
			resume := orders.onMove("r1")
			first := newEndpoint(t, "first", func(_ int, w io.Writer) {
				io.WriteString(w, streamHeader)
				for i := range test.events {
					io.WriteString(w, chunk(i+1))
					time.Sleep(50 * time.Millisecond)
				}
				<-resume
				time.Sleep(300 * time.Millisecond)
				io.WriteString(w, chunk(test.events+1)+"0\r\n\r\n")
			})
			dead := newEndpoint(t, "dead", dropConnection)
			dead.stop()
			orders.silent = append(orders.silent, dead.Address)
			spare := newEndpoint(t, "spare", dropConnection)
			tickets.first["r1.1"] = []identifier.Stage{stage(first, 0, 2), stage(dead, 2, 4)}
			tickets.moved["r1.1"] = []identifier.Stage{stage(first, 0, 2), stage(spare, 2, 4)}
			f.watch(t)
			if _, err := f.serveAs("r1", &f.route, 5*time.Second); err != nil {
				t.Errorf("got error %v for a stream that was moved, want none", err)
			}
			if _, got := f.proxier.Quarantiner.CrashedAt(dead.EndpointIncarnation); got != test.want {
				t.Errorf("got crash charged %t, want %t", got, test.want)
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
