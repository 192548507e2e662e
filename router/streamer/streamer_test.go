package streamer_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/driver"
	"heatherhold.dev/router/streamer"
	"heatherhold.dev/standin/generator"
)

const (
	layers = 6
	tokens = 8
	prompt = "prompt"
)

// fleet is a set of engines, each of which holds all layers of the model.
type fleet struct {
	engines []*generator.Engine
	chains  [][]identifier.Stage
	next    int
	// revokeCount is how many of the first tickets are revoked as they are granted.
	revokeCount int
	// budget and progressTimeout are settings of the streamer that uses the fleet.
	budget          *streamer.Budget
	progressTimeout time.Duration
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{
		budget: &streamer.Budget{
			Ratio:     1,
			Burst:     100,
			Available: 100,
		},
		progressTimeout: 200 * time.Millisecond,
	}
	for i := range n {
		e := &generator.Engine{State: messenger.EngineState{
			Endpoint:    fmt.Sprintf("e%d", i),
			Incarnation: 1,
			Version:     "v1",
			To:          layers,
			Slots:       4,
		}}
		server := httptest.NewServer(e.Handler())
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		f.engines = append(f.engines, e)
		f.chains = append(f.chains, []identifier.Stage{{
			EndpointIncarnation: identifier.EndpointIncarnation{
				Endpoint:    identifier.Endpoint(e.State.Endpoint),
				Incarnation: 1,
			},
			Address: strings.TrimPrefix(server.URL, "http://"),
			To:      layers,
			Version: "v1",
		}})
	}
	return f
}

// Acquire grants each chain once, in order.
func (f *fleet) Acquire(_ context.Context, _ identifier.Service, ask *messenger.Ask) (*acquirer.Ticket, error) {
	if f.next >= len(f.chains) {
		return nil, classifier.New(classifier.Overloaded, "every chain was already granted")
	}
	f.next++
	ticket := acquirer.NewTicket(ask, f.chains[f.next-1])
	if f.next <= f.revokeCount {
		ticket.Release(acquirer.Outcome{})
	}
	return ticket, nil
}

// noopWatcher ignores all notifications.
type noopWatcher struct{}

func (noopWatcher) StartAttempt(ctx context.Context, _ []identifier.Stage) (context.Context, func(error)) {
	return ctx, func(error) {}
}

func (noopWatcher) StartQueue(context.Context) func(error) { return func(error) {} }

func (noopWatcher) RecordLateToken(context.Context, int64, time.Duration) {}

func (f *fleet) run(t *testing.T) (string, streamer.Result, error) {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s := &streamer.Streamer{
		Tickets:   f,
		Engine:    &driver.Client{},
		Watcher:   noopWatcher{},
		Budget:    f.budget,
		Log:       log,
		OnLeaving: func(identifier.EndpointIncarnation) {},
	}
	text := ""
	result, err := s.Run(t.Context(), streamer.Request{
		ID:              "r",
		Service:         "drafts",
		Prompt:          prompt,
		MaxTokens:       tokens,
		Layers:          layers,
		Version:         "v1",
		ProgressTimeout: f.progressTimeout,
		Allowed:         func() error { return nil },
		Ask:             &messenger.Ask{},
	}, func(token string) error {
		text += token
		return nil
	})
	return text, result, err
}

func wantText() string {
	return strings.Join(generator.ExpectedTokens(prompt, "v1", layers, tokens), "")
}

// TestFaultAtEveryIndex makes the first two chains fail at each token index, with each
// kind of fault. Each time the caller must get the complete response to its own
// request.
func TestFaultAtEveryIndex(t *testing.T) {
	for at := int64(1); at <= tokens; at++ {
		for name, faults := range map[string]generator.Faults{
			"break":  {BreakAt: at},
			"end":    {EndEarlyAt: at},
			"silent": {SilentAt: at},
			"drop":   {DropAt: at},
			"mixed":  {BreakAt: at, CrossEvery: 2, DoubleEvery: 3, SwapEvery: 4},
		} {
			t.Run(fmt.Sprintf("%s at %d", name, at), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 3)
				f.engines[0].SetFaults(faults)
				f.engines[1].SetFaults(faults)
				text, result, err := f.run(t)
				if err != nil || text != wantText() {
					t.Errorf("got %q, %+v, %v; want %q", text, result, err, wantText())
				}
			})
		}
	}
}

// TestStageMismatch has engines that ran another version or too few layers. None of
// their tokens may reach the caller.
func TestStageMismatch(t *testing.T) {
	f := newFleet(t, 3)
	f.engines[0].SetFaults(generator.Faults{OtherVersion: true})
	f.engines[1].SetFaults(generator.Faults{SkipLayer: true})
	text, _, err := f.run(t)
	if err != nil || text != wantText() {
		t.Errorf("got %q, %v; want %q", text, err, wantText())
	}
}

// TestTruncatedStreamIsError lets the only chain end its stream early. The caller must
// get an error that does not claim that nothing ran, never a truncated response that
// looks complete.
func TestTruncatedStreamIsError(t *testing.T) {
	for at := int64(1); at <= tokens; at++ {
		f := newFleet(t, 1)
		f.engines[0].SetFaults(generator.Faults{EndEarlyAt: at})
		text, result, err := f.run(t)
		var classified *classifier.Error
		if !errors.As(err, &classified) || classifier.ResponseOf(classified.Kind).Ran == classifier.RanNo {
			t.Errorf("at %d: got %q, %+v, %v; want an error that reports that the request may have run", at, text, result, err)
		}
		if result.Finish != "" {
			t.Errorf("at %d: got finish %q, want none", at, result.Finish)
		}
	}
}

// TestAllEnginesRefuse has only engines that refuse the request before anything runs.
// The error must report that the request did not run.
func TestAllEnginesRefuse(t *testing.T) {
	f := newFleet(t, 2)
	for _, e := range f.engines {
		e.SetFaults(generator.Faults{Busy: true})
	}
	_, _, err := f.run(t)
	var classified *classifier.Error
	if !errors.As(err, &classified) || classifier.ResponseOf(classified.Kind).Ran != classifier.RanNo {
		t.Errorf("got %v, want an error that reports that the request did not run", err)
	}
}

// TestRepeatedRevocation guards against a streamer that misses a revocation for more
// urgent work, or counts it as a failed chain, and so fails a request that could go on.
//
// Many tickets in a row are revoked. Their engines stop sending before the last token,
// so only the revocation or the progress timeout ends the attempt. Then a chain fails,
// which uses up the budget: any earlier timeout or counted revocation fails the request.
func TestRepeatedRevocation(t *testing.T) {
	const times = 12
	f := newFleet(t, times+2)
	f.revokeCount = times
	f.budget = &streamer.Budget{
		Burst:     1,
		Available: 1,
	}
	// The timeout is long, so that a busy machine doesn't reach it before the revocation.
	f.progressTimeout = 5 * time.Second
	for i, e := range f.engines[:times] {
		// The index rises, so that tickets can be revoked after 0 to 6 tokens.
		e.SetFaults(generator.Faults{SilentAt: int64(2 + i/2)})
	}
	f.engines[times].SetFaults(generator.Faults{BreakAt: 2})
	text, result, err := f.run(t)
	if err != nil || text != wantText() || result.Attempts != times+2 {
		t.Errorf("got %q, %+v, %v; want %q after %d chains", text, result, err, wantText(), times+2)
	}
}

// TestChainMissingLayer has a chain without the last layer. It must not be used.
func TestChainMissingLayer(t *testing.T) {
	f := newFleet(t, 1)
	f.chains[0][0].To = layers - 1
	text, _, err := f.run(t)
	if err == nil || text != "" {
		t.Errorf("got %q, %v; want an error and no token", text, err)
	}
}
