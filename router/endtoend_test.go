package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/standin/generator"
)

// TestEndToEnd requests drafts and places orders at every router.
func TestEndToEnd(t *testing.T) {
	s := newSystem(t, 3)
	for name, r := range s.routers {
		prompt := "a plate for " + name
		checkComplete(t, streamDraft(t.Context(), r.caller, councilKey, prompt, 40), prompt, 40)
		checkChatCompletion(t, r)
		checkRepeatedOrder(t, r, name)
	}
}

func checkChatCompletion(t *testing.T, r *router) {
	t.Helper()
	body := []byte(`{"model":"drafts","messages":[{"role":"user","content":"hello"}],"max_tokens":9}`)
	res, err := post(t.Context(), r.caller, councilKey, "/v1/chat/completions", body, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var got struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(res.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if len(got.Choices) != 1 {
		t.Fatalf("got %d choices, want 1", len(got.Choices))
	}
	if want := expectedText("user: hello\n", "v1", 9); got.Choices[0].Message.Content != want {
		t.Errorf("got %q, want %q", got.Choices[0].Message.Content, want)
	}
}

func checkRepeatedOrder(t *testing.T, r *router, key string) {
	t.Helper()
	var first string
	for range 2 {
		res, err := post(t.Context(), r.caller, councilKey, "/services/orders/orders", []byte("plate "+key), map[string]string{"Idempotency-Key": key})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err != nil || res.StatusCode != http.StatusCreated {
			t.Fatalf("got status %d, body %s, error %v; want 201", res.StatusCode, body, err)
		}
		if first == "" {
			first = string(body)
		}
		if string(body) != first {
			t.Errorf("got %s for the same key, want the first response %s again", body, first)
		}
	}
}

// TestFaultyStreams has the engines break, end and stall streams, and repeat, swap
// and insert frames. The tests of the streamer break, end and stall streams, and
// drop tokens, at every token index.
func TestFaultyStreams(t *testing.T) {
	s := newSystem(t, 1)
	const limit = 10
	faults := []generator.Faults{
		{CrossEvery: 2},
		{DoubleEvery: 2},
		{SwapEvery: 3},
		{CrossEvery: 2, DoubleEvery: 3, SwapEvery: 4},
	}
	for _, at := range []int64{1, limit} {
		faults = append(faults, generator.Faults{BreakAt: at}, generator.Faults{EndEarlyAt: at}, generator.Faults{SilentAt: at})
	}
	for i, f := range faults {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			s.setAllEngineFaults(f)
			prompt := fmt.Sprintf("plate %d", i)
			checkComplete(t, streamDraft(t.Context(), s.routers["r1"].caller, councilKey, prompt, limit), prompt, limit)
		})
	}
}

// TestWrongStages has one engine skip a layer and another run a different version.
// A chain of the other engines must serve, and no wrong token may reach the caller.
func TestWrongStages(t *testing.T) {
	s := newSystem(t, 1, "a:0-6", "b:6-12", "other:0-12", "skips:0-12")
	s.setEngineFaults("other", generator.Faults{OtherVersion: true})
	s.setEngineFaults("skips", generator.Faults{SkipLayer: true})
	for i := range 10 {
		prompt := fmt.Sprintf("plate %d", i)
		checkComplete(t, streamDraft(t.Context(), s.routers["r1"].caller, councilKey, prompt, 12), prompt, 12)
	}
}

// load requests drafts from several routers until it is cancelled, and checks every
// draft.
type load struct {
	group       errgroup.Group
	cancel      context.CancelFunc
	draftCounts chan int
}

func startLoad(ctx context.Context, t *testing.T, workers int, targets ...*router) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(ctx)
	l := &load{
		cancel:      cancel,
		draftCounts: make(chan int, workers),
	}
	for w := range workers {
		l.group.Go(func() error {
			n := 0
			defer func() { l.draftCounts <- n }()
			for ctx.Err() == nil {
				prompt := fmt.Sprintf("worker %d plate %d", w, n)
				d := streamDraft(context.Background(), targets[w%len(targets)].caller, councilKey, prompt, 60)
				checkComplete(t, d, prompt, 60)
				n++
			}
			return nil
		})
	}
	return l
}

func (l *load) finish(t *testing.T, workers int) {
	t.Helper()
	l.cancel()
	if err := l.group.Wait(); err != nil {
		t.Error(err)
	}
	total := 0
	for range workers {
		total += <-l.draftCounts
	}
	t.Logf("%d drafts", total)
	if total == 0 {
		t.Error("got no draft, want at least 1")
	}
}

// awaitPoolOwner waits until one of the named routers owns the pool of drafts, and
// returns its name.
func (s *system) awaitPoolOwner(t *testing.T, names ...string) string {
	t.Helper()
	owner := ""
	eventually(t, "find owner", func() error {
		for _, name := range names {
			status, err := s.status(name)
			if err != nil {
				return err
			}
			for _, p := range status.Pools {
				if p.Service == "drafts" && !p.Standalone {
					owner = name
					return nil
				}
			}
		}
		return fmt.Errorf("no router owns the pool")
	})
	return owner
}

// TestKillOwner kills the pool owner under load. No stream of the other routers may
// be lost.
func TestKillOwner(t *testing.T) {
	s := newSystem(t, 3)
	warmUp := startLoad(t.Context(), t, 1, s.routers["r1"])
	owner := s.awaitPoolOwner(t, "r1", "r2", "r3")
	warmUp.finish(t, 1)
	var others []*router
	var names []string
	for name, r := range s.routers {
		if name != owner {
			others = append(others, r)
			names = append(names, name)
		}
	}
	l := startLoad(t.Context(), t, 8, others...)
	time.Sleep(500 * time.Millisecond)
	s.routers[owner].signal(t, syscall.SIGKILL)
	newOwner := s.awaitPoolOwner(t, names...)
	time.Sleep(time.Second)
	l.finish(t, 8)
	if newOwner == owner {
		t.Errorf("got owner %s after it was killed, want another", newOwner)
	}
}

// TestKillAndPauseEngines kills one engine and pauses another under load. Every
// draft must be complete and correct.
func TestKillAndPauseEngines(t *testing.T) {
	s := newSystem(t, 2)
	l := startLoad(t.Context(), t, 6, s.routers["r1"], s.routers["r2"])
	time.Sleep(300 * time.Millisecond)
	s.engines["e"].signal(t, syscall.SIGKILL)
	time.Sleep(300 * time.Millisecond)
	s.engines["b"].signal(t, syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	s.engines["b"].signal(t, syscall.SIGCONT)
	time.Sleep(time.Second)
	l.finish(t, 6)
}

// TestPlannedStop stops a router under a load of drafts and orders. Callers stop
// sending requests when the router reports that it is not ready, and no request may
// be cut off.
func TestPlannedStop(t *testing.T) {
	s := newSystem(t, 3)
	r := s.routers["r1"]
	var group errgroup.Group
	for w := range 6 {
		group.Go(func() error {
			for n := 0; checkReadyz(r) == nil; n++ {
				prompt := fmt.Sprintf("worker %d plate %d", w, n)
				checkComplete(t, streamDraft(context.Background(), r.caller, councilKey, prompt, 100), prompt, 100)
				if checkReadyz(r) != nil {
					// The draft may have lasted for longer than the notice of the stop.
					break
				}
				checkRepeatedOrder(t, r, fmt.Sprintf("stop-%d-%d", w, n))
			}
			return nil
		})
	}
	time.Sleep(500 * time.Millisecond)
	r.signal(t, syscall.SIGTERM)
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-r.done:
	case <-time.After(waitLimit):
		t.Fatal("the router did not stop")
	}
	if text := r.logText(); strings.Contains(text, "cut off") || !strings.Contains(text, "stopped") {
		t.Errorf("got log %s; want a stop that cuts off no request", text)
	}
}
