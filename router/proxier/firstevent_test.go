package proxier_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/dialer"
	"heatherhold.dev/router/executor"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/publisher"
)

// owner grants the same chain for each ask and records the releases.
type owner struct {
	messenger.DRPCPeerUnimplementedServer
	chain    []identifier.Stage
	releases chan *messenger.Release
}

// Tickets grants every ask that it receives.
func (o *owner) Tickets(s messenger.DRPCPeer_TicketsStream) error {
	for {
		m, err := s.Recv()
		if err != nil {
			return err
		}
		out := &messenger.FromOwner{}
		for _, a := range m.GetAsks() {
			out.Grants = append(out.Grants, &messenger.Grant{
				Request: a.GetRequest(),
				Chain:   granter.StagesOf(o.chain),
			})
		}
		for _, r := range m.GetReleases() {
			o.releases <- r
		}
		if err := s.Send(out); err != nil {
			return err
		}
	}
}

// acquirerOf returns a running acquirer whose pools have the owner o.
func acquirerOf(t *testing.T, o *owner) *acquirer.Acquirer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterPeer(mux, o); err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	loop := executor.New()
	a := acquirer.New()
	a.Self = "entry"
	a.Publisher = publisher.New()
	a.Publisher.Publish(&publisher.View{
		Live:     []identifier.Instance{"owner"},
		Eligible: []identifier.Instance{"owner"},
		Peers:    map[identifier.Instance]string{"owner": l.Addr().String()},
	})
	a.Dialer = &dialer.Dialer{}
	a.Granter = granter.New(loop)
	a.Granter.Publisher = a.Publisher
	a.Log = log
	a.InactivityTimeout = time.Second
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return drpcserver.New(mux).Serve(ctx, l) })
	group.Go(func() error { return loop.Run(ctx) })
	group.Go(func() error { return a.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Log(err)
		}
	})
	return a
}

// TestTimeToFirstEventOfRelease guards against a release without the time to the first event, or
// with the time until the answer's header or a comment that keeps the connection open: the owner learns from it whether engines keep the
// beginnings of prompts.
func TestTimeToFirstEventOfRelease(t *testing.T) {
	const header, reading = 50 * time.Millisecond, 60 * time.Millisecond
	e := newEndpoint(t, "a", func(_ int, w io.Writer) {
		time.Sleep(header)
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		writeChunk(w, ": kept open\n\n")
		time.Sleep(reading)
		writeChunk(w, "id: 1\n\n")
		fmt.Fprint(w, "0\r\n\r\n")
	})
	f := newFixture(cataloguer.Resumable, true, e)
	o := &owner{
		chain:    []identifier.Stage{stage(e, 0, 4)},
		releases: make(chan *messenger.Release, 1),
	}
	f.proxier.Tickets = acquirerOf(t, o)
	if _, err := f.proxier.Serve(t.Context(), httptest.NewRecorder(), f.job(5*time.Second)); err != nil {
		t.Fatal(err)
	}
	select {
	case r := <-o.releases:
		got := time.Duration(r.GetFirstEventMicros()) * time.Microsecond
		if least := header + reading; got < least {
			t.Errorf("first event: got %v, want at least %v", got, least)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the owner got no release")
	}
}
