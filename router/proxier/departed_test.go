package proxier_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
)

// know publishes a list of the fixture's instance at a position. It has the given endpoints, and
// those in departures are known to have left.
func (f *fixture) know(position identifier.Position, listed []cataloguer.Endpoint, departures ...cataloguer.Departure) {
	v := *f.proxier.Publisher.View()
	v.Fleet = map[identifier.Service][]cataloguer.Endpoint{"s": listed}
	v.Departures = departures
	f.proxier.Publisher.Publish(&v)
	f.proxier.Publisher.SetList(position)
}

func position(era identifier.Era, version identifier.RowVersion) identifier.Position {
	return identifier.Position{
		Era:     era,
		Version: version,
	}
}

func leaving(e *endpoint) cataloguer.Endpoint {
	out := e.Endpoint
	out.Leaving = true
	return out
}

func departure(e *endpoint, at identifier.Position) cataloguer.Departure {
	return cataloguer.Departure{
		EndpointIncarnation: e.EndpointIncarnation,
		At:                  at,
		LearnedAt:           time.Now(),
	}
}

// TestTicketThroughDepartedEndpointUsed guards against requests that are sent to an endpoint that
// this instance knows to have left, because the ticket of an owner that had been away says so.
func TestTicketThroughDepartedEndpointUsed(t *testing.T) {
	first := newEndpoint(t, "first", streamEvents(3, true))
	other := newEndpoint(t, "other", streamEvents(3, true))
	later := newEndpoint(t, "later", dropConnection)
	listed := []cataloguer.Endpoint{other.Endpoint}
	tests := []struct {
		name   string
		owner  identifier.Position
		own    identifier.Position
		listed []cataloguer.Endpoint
		known  []cataloguer.Departure
		sent   bool
	}{
		{name: "the owner's list is older", owner: position(1, 10), own: position(1, 20), listed: listed},
		{name: "both lists are of one position", owner: position(1, 20), own: position(1, 20), listed: listed},
		{name: "the owner's list is of an older era", owner: position(1, 30), own: position(2, 20), listed: listed},
		{name: "the owner's list is newer and has a new endpoint", owner: position(1, 30), own: position(1, 20), listed: listed, sent: true},
		{name: "the owner's list is of a newer era", owner: position(2, 10), own: position(1, 20), listed: listed, sent: true},
		{name: "another instance knows of the departure", owner: position(1, 30), own: position(1, 20), listed: listed, known: []cataloguer.Departure{departure(first, position(1, 40)), departure(later, position(1, 40))}},
		{name: "the endpoint came back after the departure", owner: position(1, 50), own: position(1, 20), listed: listed, known: []cataloguer.Departure{departure(first, position(1, 40)), departure(later, position(1, 40))}, sent: true},
		{name: "the owner states no position and the departure is known", own: position(1, 20), listed: listed, known: []cataloguer.Departure{departure(first, position(1, 20)), departure(later, position(1, 20))}},
		{name: "the owner states no position", own: position(1, 20), listed: listed, sent: true},
		{name: "the endpoint leaves", owner: position(1, 30), own: position(1, 20), listed: []cataloguer.Endpoint{other.Endpoint, leaving(first), leaving(later)}},
		{name: "the endpoint is listed", owner: position(1, 10), own: position(1, 20), listed: []cataloguer.Endpoint{other.Endpoint, first.Endpoint, later.Endpoint}, sent: true},
	}
	chains := map[string][]identifier.Stage{
		"first stage": {stage(first, 0, 4)},
		"later stage": {stage(other, 0, 2), stage(later, 2, 4)},
	}
	for _, tt := range tests {
		for where, chain := range chains {
			t.Run(tt.name+", "+where, func(t *testing.T) {
				f := newFixture(cataloguer.Resumable, true)
				f.tickets.chains = [][]identifier.Stage{chain, {stage(other, 0, 4)}}
				f.tickets.list = tt.owner
				f.know(tt.own, tt.listed, tt.known...)
				w, _, err := f.serve(t.Context(), 2*time.Second)
				if err != nil || w.Code != http.StatusOK {
					t.Fatalf("got status %d and error %v, want an answer", w.Code, err)
				}
				asks := 2
				if tt.sent {
					asks = 1
				}
				if got, want := len(f.tickets.asks), asks; got != want {
					t.Errorf("tickets asked for: got %d, want %d", got, want)
				}
			})
		}
	}
}

// TestOwnerThatInsistsOnDepartedEndpoint guards against requests that ask for tickets without end,
// or are sent all the same, when the owner grants nothing but an endpoint that has left.
func TestOwnerThatInsistsOnDepartedEndpoint(t *testing.T) {
	gone := newEndpoint(t, "gone", streamEvents(3, true))
	f := newFixture(cataloguer.Resumable, true, gone)
	f.tickets.reuseLast = true
	f.tickets.list = position(1, 10)
	f.know(position(1, 20), nil)
	_, started, err := f.serve(t.Context(), time.Second)
	if got, want := kindOf(err), classifier.NoChain; started || got != want {
		t.Errorf("got started %v and kind %q (%v), want %q", started, got, err, want)
	}
	if got := len(gone.runs()); got > 0 {
		t.Errorf("requests at the endpoint that had left: got %d, want none", got)
	}
	if got, most := len(f.tickets.asks), 8; got > most {
		t.Errorf("tickets asked for: got %d, want at most %d", got, most)
	}
}

// TestStreamMovedToDepartedStage guards against a stream that is moved over an endpoint that this
// instance knows to have left. Its first stage leaves, and may go on.
func TestStreamMovedToDepartedStage(t *testing.T) {
	repathed := make(chan struct{})
	first := newEndpoint(t, "first", func(_ int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		writeChunk(w, "id: 1\ndata: 1\n\n")
		<-repathed
		writeChunk(w, "id: 2\ndata: 2\n\n")
		fmt.Fprint(w, "0\r\n\r\n")
	})
	failed := newEndpoint(t, "failed", dropConnection)
	gone := newEndpoint(t, "gone", dropConnection)
	sound := newEndpoint(t, "sound", dropConnection)
	f := newFixture(cataloguer.AtMostOnce, true)
	f.tickets.list = position(1, 10)
	f.tickets.chains = [][]identifier.Stage{
		{stage(first, 0, 2), stage(failed, 2, 4)},
		{stage(first, 0, 2), stage(gone, 2, 4)},
		{stage(first, 0, 2), stage(sound, 2, 4)},
	}
	f.know(position(1, 20), []cataloguer.Endpoint{first.Endpoint, failed.Endpoint, sound.Endpoint})
	f.orders.unresponsive = failed.Address
	f.orders.onRepath = func() { close(repathed) }
	leave := time.AfterFunc(30*time.Millisecond, func() {
		f.know(position(1, 30), []cataloguer.Endpoint{leaving(first), failed.Endpoint, sound.Endpoint})
	})
	defer leave.Stop()
	events, err := serveWatched(t, f)
	requireEvents(t, events, err, "1 2")
	if got := f.orders.repathed; len(got) != 2 || got[1].Endpoint != "sound" {
		t.Errorf("the stream was moved to %v, want the endpoint that is listed", got)
	}
}
