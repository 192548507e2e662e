package proxier_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/director"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
)

// busyFleet grants the stage busy to the first requests and then the first endpoint that has not
// ended and is not to be avoided. It reports for the endpoints.
type busyFleet struct {
	busy      identifier.Stage
	requests  int
	endpoints []*mortal

	mu sync.Mutex
}

// Acquire grants a chain of one stage.
func (b *busyFleet) Acquire(_ context.Context, _ identifier.Service, ask *messenger.Ask) (*acquirer.Ticket, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.requests--; b.requests >= 0 {
		return acquirer.NewTicket(ask, []identifier.Stage{b.busy}), nil
	}
	for _, m := range b.endpoints {
		avoided := slices.ContainsFunc(ask.GetAvoid(), func(mark *messenger.Mark) bool { return mark.GetEndpoint() == string(m.Endpoint.Endpoint) })
		if !avoided && !m.ended.Load() {
			return acquirer.NewTicket(ask, []identifier.Stage{{
				EndpointIncarnation: m.EndpointIncarnation,
				Address:             m.Address,
				To:                  4,
			}}), nil
		}
	}
	return nil, classifier.New(classifier.NoChain, "every endpoint has ended or is avoided")
}

// Report answers for the endpoints that have not ended.
func (b *busyFleet) Report(_ context.Context, address string) (director.Report, error) {
	for _, m := range b.endpoints {
		if m.Address == address && m.ended.Load() {
			return director.Report{}, errors.New("connection refused")
		}
	}
	return director.Report{Slowdown: 1}, nil
}

// Repath is not used.
func (b *busyFleet) Repath(context.Context, identifier.Request, []identifier.Stage) (string, error) {
	return "", director.ErrStageUnavailable
}

// TestSuspectedRequestSentToBusyEndpoint guards against sending a request under which an endpoint
// crashed to the endpoint with most streams, which end with it, while another one is free.
func TestSuspectedRequestSentToBusyEndpoint(t *testing.T) {
	const streams = 3
	release := make(chan struct{})
	long := newEndpoint(t, "long", func(_ int, w io.Writer) {
		io.WriteString(w, streamHeader+chunk(1))
		<-release
	})
	b := &busyFleet{requests: streams}
	for _, name := range []string{"first", "busy", "quiet"} {
		b.endpoints = append(b.endpoints, newMortal(t, name, "", streamHeader+chunk(1)+"0\r\n\r\n"))
	}
	// The long streams of the busy endpoint run at another address, where nothing ends them.
	b.busy = identifier.Stage{
		EndpointIncarnation: b.endpoints[1].EndpointIncarnation,
		Address:             long.Address,
		To:                  4,
	}
	f := newFixture(cataloguer.Resumable, true)
	f.proxier.Tickets = b
	f.proxier.Orderer = b
	var group errgroup.Group
	for i := range streams {
		group.Go(func() error {
			_ = serveBody(f, fmt.Sprint("long", i))
			return nil
		})
	}
	time.Sleep(100 * time.Millisecond)
	_ = serveBody(f, deadlyBody)
	close(release)
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	for i, want := range []bool{true, false, true} {
		if m := b.endpoints[i]; m.ended.Load() != want {
			t.Errorf("endpoint %s: got ended %t after a request and its repeat, want %t", m.Endpoint.Endpoint, !want, want)
		}
	}
}
