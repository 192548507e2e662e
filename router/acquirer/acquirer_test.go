package acquirer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/dialer"
	"heatherhold.dev/router/executor"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/publisher"
)

// refusingOwner is an owner that refuses every ask with an error of the given kind.
type refusingOwner struct {
	messenger.DRPCPeerUnimplementedServer
	kind string
}

// Tickets refuses every ask that it receives.
func (r *refusingOwner) Tickets(s messenger.DRPCPeer_TicketsStream) error {
	for {
		m, err := s.Recv()
		if err != nil {
			return err
		}
		out := &messenger.FromOwner{}
		for _, a := range m.GetAsks() {
			out.Refusals = append(out.Refusals, &messenger.Refusal{
				Request: a.GetRequest(),
				Kind:    r.kind,
				Detail:  "unknown rank urgent",
			})
		}
		if err := s.Send(out); err != nil {
			return err
		}
	}
}

// serveOwner runs an owner until the test ends and returns its address.
func serveOwner(t testing.TB, r messenger.DRPCPeerServer) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterPeer(mux, r); err != nil {
		t.Fatal(err)
	}
	run(t, func(ctx context.Context) error { return drpcserver.New(mux).Serve(ctx, l) })
	return l.Addr().String()
}

// run runs f until the test ends.
func run(t testing.TB, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return f(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
}

// newEntry returns a running acquirer whose pools' owner has the given address.
func newEntry(t *testing.T, address string) *acquirer.Acquirer {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	loop := executor.New()
	a := acquirer.New()
	a.Self = "entry"
	a.Publisher = publisher.New()
	a.Publisher.Publish(&publisher.View{
		Live:     []identifier.Instance{"owner"},
		Eligible: []identifier.Instance{"owner"},
		Peers:    map[identifier.Instance]string{"owner": address},
	})
	a.Dialer = &dialer.Dialer{}
	a.Granter = granter.New(loop)
	a.Granter.Publisher = a.Publisher
	a.Log = log
	a.InactivityTimeout = time.Second
	run(t, loop.Run)
	run(t, a.Run)
	return a
}

// TestOwnerRefusalBlamesCaller guards against an error that blames the caller of an
// admitted request because the build or the configuration of another instance lacks
// something.
func TestOwnerRefusalBlamesCaller(t *testing.T) {
	for kind, want := range map[classifier.Kind]classifier.Kind{
		classifier.BadRequest:      classifier.NoChain,
		classifier.NotFound:        classifier.NoChain,
		classifier.Unauthenticated: classifier.NoChain,
		"of-a-later-build":         classifier.NoChain,
		classifier.Overloaded:      classifier.Overloaded,
		classifier.NoChain:         classifier.NoChain,
	} {
		t.Run(string(kind), func(t *testing.T) {
			a := newEntry(t, serveOwner(t, &refusingOwner{kind: string(kind)}))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := a.Acquire(ctx, "drafts", &messenger.Ask{
				Request: "r1.1",
				Rank:    "urgent",
			})
			if got := classifier.Classify(err).Kind; got != want {
				t.Errorf("kind: got %s (%v), want %s", got, err, want)
			}
		})
	}
}

// listeningOwner is an owner that records the departures in each stream's first message.
type listeningOwner struct {
	messenger.DRPCPeerUnimplementedServer
	first chan []*messenger.Departure
}

// Tickets receives until the stream ends.
func (l *listeningOwner) Tickets(s messenger.DRPCPeer_TicketsStream) error {
	m, err := s.Recv()
	if err != nil {
		return err
	}
	l.first <- m.GetDepartures()
	_, err = s.Recv()
	return err
}

// TestOwnerNotToldOfDepartures guards against an owner that was away and grants endpoints which
// left meanwhile, until the entries have given the tickets back one by one.
func TestOwnerNotToldOfDepartures(t *testing.T) {
	owner := &listeningOwner{first: make(chan []*messenger.Departure, 1)}
	a := newEntry(t, serveOwner(t, owner))
	v := *a.Publisher.View()
	v.Departures = []cataloguer.Departure{{
		EndpointIncarnation: identifier.EndpointIncarnation{
			Endpoint:    "gone",
			Incarnation: 3,
		},
		At:        identifier.Position{Version: 9},
		LearnedAt: time.Now(),
	}}
	a.Publisher.Publish(&v)
	run(t, func(ctx context.Context) error {
		_, err := a.Acquire(ctx, "drafts", &messenger.Ask{Request: "r1.1"})
		return err
	})
	select {
	case got := <-owner.first:
		if len(got) != 1 || got[0].GetEndpoint().GetEndpoint() != "gone" || got[0].GetPosition().GetVersion() != 9 {
			t.Errorf("departures in the first message: got %v, want that of the entry's view", got)
		}
	case <-time.After(2 * time.Second):
		t.Fatal("the owner got no message")
	}
}

// recordingOwner is an owner that grants every ask and records the releases.
type recordingOwner struct {
	messenger.DRPCPeerUnimplementedServer
	releases chan *messenger.Release
}

// Tickets grants every ask that it receives.
func (r *recordingOwner) Tickets(s messenger.DRPCPeer_TicketsStream) error {
	for {
		m, err := s.Recv()
		if err != nil {
			return err
		}
		out := &messenger.FromOwner{}
		for _, a := range m.GetAsks() {
			out.Grants = append(out.Grants, &messenger.Grant{
				Request: a.GetRequest(),
				Chain:   []*messenger.Stage{{Endpoint: "e", Incarnation: 1, To: 1}},
			})
		}
		for _, release := range m.GetReleases() {
			r.releases <- release
		}
		if err := s.Send(out); err != nil {
			return err
		}
	}
}

// TestOwnerNotToldOfFirstEvent guards against releases without the time to the first event: the
// owner couldn't learn whether engines keep the beginnings of prompts.
func TestOwnerNotToldOfFirstEvent(t *testing.T) {
	owner := &recordingOwner{releases: make(chan *messenger.Release, 1)}
	a := newEntry(t, serveOwner(t, owner))
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	ticket, err := a.Acquire(ctx, "drafts", &messenger.Ask{Request: "r1.1"})
	if err != nil {
		t.Fatal(err)
	}
	ticket.Release(acquirer.Outcome{
		Tokens:     3,
		FirstEvent: 1500 * time.Microsecond,
	})
	select {
	case release := <-owner.releases:
		if got, want := release.GetFirstEventMicros(), int64(1500); got != want {
			t.Errorf("first event: got %d µs, want %d", got, want)
		}
	case <-ctx.Done():
		t.Fatal("the owner got no release")
	}
}
