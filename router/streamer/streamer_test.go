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

// fleet is some engines, each of which holds the whole model.
type fleet struct {
	engines []*generator.Engine
	chains  [][]identifier.Stage
	next    int
	// revoke is how many of the first tickets are revoked as they are granted.
	revoke int
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{}
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
			Life: identifier.Life{
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

// Acquire grants the chains in turn.
func (f *fleet) Acquire(_ context.Context, _ identifier.Service, ask *messenger.Ask) (*acquirer.Ticket, error) {
	if f.next >= len(f.chains) {
		return nil, classifier.New(classifier.Overloaded, "no chain is left")
	}
	f.next++
	ticket := acquirer.NewTicket(ask, f.chains[f.next-1])
	if f.next <= f.revoke {
		ticket.Release(acquirer.Outcome{})
	}
	return ticket, nil
}

// quiet watches nothing.
type quiet struct{}

func (quiet) Attempt(ctx context.Context, _ []identifier.Stage) (context.Context, func(error)) {
	return ctx, func(error) {}
}

func (quiet) Queue(context.Context) func(error) { return func(error) {} }

func (quiet) Late(context.Context, int64, time.Duration) {}

func (f *fleet) run(t *testing.T) (string, streamer.Result, error) {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s := &streamer.Streamer{
		Tickets: f,
		Engine:  &driver.Client{},
		Watcher: quiet{},
		Budget: &streamer.Budget{
			Ratio: 1,
			Burst: 100,
			Saved: 100,
		},
		Log:     log,
		Leaving: func(identifier.Life) {},
	}
	text := ""
	result, err := s.Run(t.Context(), streamer.Work{
		Request:   "r",
		Service:   "drafts",
		Prompt:    prompt,
		MaxTokens: tokens,
		Layers:    layers,
		Version:   "v1",
		Progress:  200 * time.Millisecond,
		Allowed:   func() error { return nil },
		Ask:       &messenger.Ask{},
	}, func(token string) error {
		text += token
		return nil
	})
	return text, result, err
}

func want() string {
	return strings.Join(generator.Text(prompt, "v1", layers, tokens), "")
}

// TestFaultAtEveryIndex breaks the first two chains at every token index in
// every way; the answer is whole and the caller's own each time.
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
				if err != nil || text != want() {
					t.Errorf("got %q, %+v, %v; want %q", text, result, err, want())
				}
			})
		}
	}
}

// TestWrongStages has engines that ran another version or too few layers; none
// of their tokens may reach the caller.
func TestWrongStages(t *testing.T) {
	f := newFleet(t, 3)
	f.engines[0].SetFaults(generator.Faults{OtherVersion: true})
	f.engines[1].SetFaults(generator.Faults{SkipLayer: true})
	text, _, err := f.run(t)
	if err != nil || text != want() {
		t.Errorf("got %q, %v; want %q", text, err, want())
	}
}

// TestNeverShort has no chain left after some tokens: the caller gets an error
// that says that something ran, never an answer that looks whole.
func TestNeverShort(t *testing.T) {
	for at := int64(1); at <= tokens; at++ {
		f := newFleet(t, 1)
		f.engines[0].SetFaults(generator.Faults{EndEarlyAt: at})
		text, result, err := f.run(t)
		var kind *classifier.Error
		if !errors.As(err, &kind) || classifier.AnswerOf(kind.Kind).Ran == classifier.RanNo {
			t.Errorf("at %d: got %q, %+v, %v; want an error that says that it may have run", at, text, result, err)
		}
		if result.Finish != "" {
			t.Errorf("at %d: got finish %q, want none", at, result.Finish)
		}
	}
}

// TestRefusedEverywhere has engines that refuse before anything runs.
func TestRefusedEverywhere(t *testing.T) {
	f := newFleet(t, 2)
	for _, e := range f.engines {
		e.SetFaults(generator.Faults{Busy: true})
	}
	_, _, err := f.run(t)
	var kind *classifier.Error
	if !errors.As(err, &kind) || classifier.AnswerOf(kind.Kind).Ran != classifier.RanNo {
		t.Errorf("got %v, want an error that says that it did not run", err)
	}
}

// TestRevoked takes the chain away for more urgent work many times over, and then
// a chain breaks; the answer is whole all the same.
func TestRevoked(t *testing.T) {
	const times = 12
	f := newFleet(t, times+2)
	f.revoke = times
	f.engines[times].SetFaults(generator.Faults{BreakAt: 2})
	text, result, err := f.run(t)
	if err != nil || text != want() || result.Attempts != times+2 {
		t.Errorf("got %q, %+v, %v; want %q after %d chains", text, result, err, want(), times+2)
	}
}

// TestGapInChain has a chain that misses a layer; it is not used.
func TestGapInChain(t *testing.T) {
	f := newFleet(t, 1)
	f.chains[0][0].To = layers - 1
	text, _, err := f.run(t)
	if err == nil || text != "" {
		t.Errorf("got %q, %v; want an error and no token", text, err)
	}
}
