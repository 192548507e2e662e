package main_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherhold.dev/platform/faker"
)

const (
	// contact is the time after the last allowed crash from which every router knows of it.
	contact = 3 * time.Second
	// allowedLate is how many deadly requests may still reach endpoints after that.
	allowedLate = 3
	// crashesOfRequest and crashesOfPart are the numbers of crashes that are allowed.
	crashesOfRequest = 3
	crashesOfPart    = 5
	// deadlyDuration is how long deadly requests come.
	deadlyDuration = 9 * time.Second
	// minSound is the least share of the sound requests that is served meanwhile.
	minSound = 0.6
)

// newCrashSystem starts three routers beside the endpoints of a rig.
func newCrashSystem(t *testing.T, how ending) (*crashRig, []*storeSystem) {
	t.Helper()
	store, client := faker.New(t)
	store.Write("op", "config", crashServices)
	rig := &crashRig{
		t:         t,
		store:     store,
		ending:    how,
		stop:      make(chan struct{}),
		endpoints: make(map[string]*crashEndpoint),
		crashes:   make(map[string][]time.Time),
	}
	t.Cleanup(rig.close)
	for i := range 16 {
		plan := endpointPlan{
			name:    fmt.Sprintf("m%d", i),
			service: "draft",
			to:      8,
		}
		if how == atLaterStage {
			plan.from, plan.to = i%2*4, i%2*4+4
		}
		rig.start(plan, 1)
	}
	for i := range 6 {
		rig.start(endpointPlan{
			name:    fmt.Sprintf("p%d", i),
			service: "orders",
		}, 1)
	}
	shared := &system{
		t:   t,
		dir: t.TempDir(),
	}
	var systems []*storeSystem
	var seeds []string
	for i := range 3 {
		s := &storeSystem{
			system: shared,
			router: &router{
				caller:   freeAddress(t),
				operator: freeAddress(t),
				peer:     freeAddress(t),
			},
			store: store,
			ready: freeAddress(t),
		}
		s.startOn(t, fmt.Sprintf("r%d", i+1), client.Address, seeds...)
		seeds = append(seeds, s.peer)
		systems = append(systems, s)
	}
	for _, s := range systems {
		eventually(t, "the router is ready", s.checkReady)
	}
	return rig, systems
}

// request sends one request to a router and reports whether it was served.
func (s *storeSystem) request(ctx context.Context, method, path, prefix, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body")
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.caller+path, body)
	if err != nil {
		s.t.Error(err)
		return false
	}
	r.Host = "h"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "4000")
	r.Header.Set("Sent-At", time.Now().Format(time.RFC3339Nano))
	if prefix != "" {
		r.Header.Set("X-Model", "x")
		r.Header.Set("X-Token-Count", "10,5")
		r.Header.Set("X-Prompt-Prefix", prefix)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	last := fmt.Sprintf("id: %d\n", soundEvents)
	return err == nil && res.StatusCode == http.StatusOK && (string(answer) == "ok" || strings.Contains(string(answer), last))
}

// crashLoad is the requests that come to the routers of a crashing fleet.
type crashLoad struct {
	systems []*storeSystem
	group   sync.WaitGroup
	// sound and served count the sound requests, and next numbers all requests.
	sound, served, next atomic.Int64
}

// every sends requests in turn to all routers at an interval until ctx ends. count is set for
// sound ones.
func (l *crashLoad) every(ctx context.Context, interval time.Duration, count bool, send func(s *storeSystem, id string) bool) {
	l.group.Go(func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			n := l.next.Add(1)
			l.group.Go(func() {
				served := send(l.systems[n%int64(len(l.systems))], fmt.Sprintf("q%d", n))
				if count {
					l.sound.Add(1)
				}
				if count && served {
					l.served.Add(1)
				}
			})
		}
	})
}

// deadlyForm is what requests that crash endpoints look like.
type deadlyForm struct {
	ending ending
	// parts is how many parts of its own a prompt has before the deadly one, and name the name of that.
	parts int
	name  string
	// queries is set if a look-up comes with another query each time.
	queries bool
}

// prefix returns the parts of the prompt of a request.
func (f deadlyForm) prefix(id string) string {
	var b strings.Builder
	b.WriteString("first:2,")
	for i := range f.parts {
		fmt.Fprintf(&b, "%s-%d:1,", id, i)
	}
	return b.String() + f.name + ":4," + id + ":4"
}

// lookup returns the path and the query of a look-up.
func (f deadlyForm) lookup(id string) string {
	if f.queries {
		return "/look" + deadlyPath + "?n=" + id
	}
	return "/look" + deadlyPath
}

// TestCrashingRequestsSentOn guards against requests, and parts of prompts, that are sent to
// endpoint after endpoint because of how far each endpoint gets before it crashes under them, of how many
// parts stand before the one at fault, of its name, or of the query.
func TestCrashingRequestsSentOn(t *testing.T) {
	for name, form := range map[string]deadlyForm{
		"before the header": {
			ending: beforeHeader,
			name:   deadlyPart,
			parts:  40,
		},
		"after the header": {
			ending: afterHeader,
			name:   deadlyPart,
		},
		"after an event": {
			ending:  afterEvent,
			name:    deadlyPart,
			parts:   400,
			queries: true,
		},
		"in the body": {
			ending: inBody,
			name: strings.Repeat("e",
				80) + deadlyPart,
			queries: true,
		},
		"at a later stage": {
			ending: atLaterStage,
			name:   deadlyPart,
			parts:  40,
		},
	} {
		t.Run(name, func(t *testing.T) {
			rig, systems := newCrashSystem(t, form.ending)
			l := &crashLoad{systems: systems}
			ctx, cancel := context.WithTimeout(t.Context(), deadlyDuration)
			defer cancel()
			background := context.WithoutCancel(ctx)
			l.every(ctx, 25*time.Millisecond, true, func(s *storeSystem, id string) bool {
				return s.request(background, http.MethodPost, "/draft/"+id, "first:4,"+id+":6", id)
			})
			l.every(ctx, 100*time.Millisecond, true, func(s *storeSystem, id string) bool {
				return s.request(background, http.MethodGet, "/look/"+id, "", id)
			})
			l.every(ctx, 300*time.Millisecond, false, func(s *storeSystem, id string) bool {
				return s.request(background, http.MethodPost, "/draft/"+id, form.prefix(id), id)
			})
			l.every(ctx, 300*time.Millisecond, false, func(s *storeSystem, id string) bool {
				return s.request(background, http.MethodPost, "/draft"+deadlyPath, "first:4,whole:6", id)
			})
			l.every(ctx, 300*time.Millisecond, false, func(s *storeSystem, id string) bool {
				return s.request(background, http.MethodGet, form.lookup(id), "", id)
			})
			l.group.Wait()
			for key, allowed := range map[string]int{
				deadlyPart:            crashesOfPart,
				"/draft" + deadlyPath: crashesOfRequest,
				"/look" + deadlyPath:  crashesOfRequest,
			} {
				late, _ := rig.late(key, allowed, contact)
				t.Logf("%s: %d crashes, %d late arrivals", key, len(rig.crashes[key]), late)
				if late > allowedLate {
					t.Errorf("%s: got %d requests at endpoints later than %v after crash %d, want at most %d", key, late, contact, allowed, allowedLate)
				}
			}
			served := float64(l.served.Load()) / float64(l.sound.Load())
			t.Logf("served %.3f of %d sound requests", served, l.sound.Load())
			if served < minSound {
				t.Errorf("got %.3f of the sound requests served, want at least %.2f", served, minSound)
			}
		})
	}
}
