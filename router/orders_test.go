package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/standin/faulter"
)

// placed is the outcome of one order.
type placed struct {
	request string
	status  int
	ran     classifier.Ran
	err     error
}

func place(ctx context.Context, r *router, key, body string) placed {
	res, err := post(ctx, r.caller, councilKey, "/services/orders/orders", []byte(body), map[string]string{"Idempotency-Key": key})
	if err != nil {
		return placed{err: err}
	}
	defer res.Body.Close()
	p := placed{
		request: res.Header.Get("Heatherhold-Request"),
		status:  res.StatusCode,
		ran:     classifier.Ran(res.Header.Get("Heatherhold-Ran")),
	}
	_, p.err = io.Copy(io.Discard, res.Body)
	return p
}

// runs returns how often the plain service ran each body and each request.
func (s *system) runs(t *testing.T) map[string]int {
	t.Helper()
	return counts(t, "http://"+s.services["s1"].address+"/runs")
}

// started returns how many streams an engine has begun.
func (s *system) started(t *testing.T, engine string) int {
	t.Helper()
	return len(counts(t, "http://"+s.engines[engine].address+"/v1/started"))
}

// counts reads what a stand-in has counted.
func counts(t *testing.T, url string) map[string]int {
	t.Helper()
	res, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	got := make(map[string]int)
	if err := json.NewDecoder(res.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	return got
}

// checkPlaced compares answers with what the service really ran.
func checkPlaced(t *testing.T, runs map[string]int, body string, answers []placed) {
	t.Helper()
	if runs[body] > 1 {
		t.Errorf("%s ran %d times, want at most once", body, runs[body])
	}
	for _, a := range answers {
		if a.status == http.StatusCreated && runs[body] != 1 {
			t.Errorf("%s was confirmed and ran %d times, want once", body, runs[body])
		}
		if a.ran == classifier.RanNo && runs["request:"+a.request] != 0 {
			t.Errorf("%s was refused with \"ran: no\" and request %s ran", body, a.request)
		}
	}
}

// TestOrdersUnderKills kills a router at any step of its orders; the same keys
// are then sent to another.
func TestOrdersUnderKills(t *testing.T) {
	const seed, rounds, keys = 1, 8, 8
	s := newSystem(t, 2)
	random := rand.New(rand.NewPCG(seed, seed))
	answers := make(map[string][]placed)
	for round := range rounds {
		first, second := make([]placed, keys), make([]placed, keys)
		var group errgroup.Group
		for k := range keys {
			group.Go(func() error {
				body := fmt.Sprintf("plate %d-%d", round, k)
				first[k] = place(t.Context(), s.routers["r1"], body, body)
				return nil
			})
		}
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		s.routers["r1"].signal(t, syscall.SIGKILL)
		_ = group.Wait()
		for k := range keys {
			group.Go(func() error {
				body := fmt.Sprintf("plate %d-%d", round, k)
				second[k] = place(t.Context(), s.routers["r2"], body, body)
				if second[k].err != nil {
					t.Errorf("%s: %v", body, second[k].err)
				}
				return nil
			})
		}
		_ = group.Wait()
		for k := range keys {
			body := fmt.Sprintf("plate %d-%d", round, k)
			answers[body] = append(answers[body], first[k], second[k])
		}
		<-s.routers["r1"].done
		s.startRouter("r1")
		eventually(t, "r1 ready", func() error { return readyz(s.routers["r1"]) })
	}
	runs := s.runs(t)
	for body, a := range answers {
		checkPlaced(t, runs, body, a)
	}
}

// TestPausedClaimant freezes a router between its claim and its sending; the
// same key at another router must not run the order a second time.
func TestPausedClaimant(t *testing.T) {
	s := newSystem(t, 2)
	s.platformFault(faulter.Fault{
		Path:    "/v1/table/commit",
		DelayMS: 300,
	})
	var first placed
	var group errgroup.Group
	group.Go(func() error {
		first = place(t.Context(), s.routers["r1"], "key", "plate")
		return nil
	})
	time.Sleep(150 * time.Millisecond)
	s.routers["r1"].signal(t, syscall.SIGSTOP)
	time.Sleep(time.Second)
	s.platformFault(faulter.Fault{Path: "/v1/table/commit"})
	second := place(t.Context(), s.routers["r2"], "key", "plate")
	if second.status == http.StatusCreated {
		t.Errorf("got status %d while the claimant was paused, want a refusal", second.status)
	}
	s.routers["r1"].signal(t, syscall.SIGCONT)
	_ = group.Wait()
	third := place(t.Context(), s.routers["r2"], "key", "plate")
	checkPlaced(t, s.runs(t), "plate", []placed{first, second, third})
	if first.status == http.StatusCreated && third.status != http.StatusCreated {
		t.Errorf("got status %d after the claimant's answer, want the kept one", third.status)
	}
}

// TestOrdersWithoutTable refuses orders while the table is down, truly unrun,
// and settles answers that are lost after the write.
func TestOrdersWithoutTable(t *testing.T) {
	s := newSystem(t, 1)
	r := s.routers["r1"]
	s.platformFault(faulter.Fault{
		Path:   "/v1/table",
		Outage: true,
	})
	down := place(t.Context(), r, "down", "plate down")
	if down.ran != classifier.RanNo {
		t.Errorf("got %+v in an outage, want ran no", down)
	}
	s.platformFault(faulter.Fault{
		Path:        "/v1/table",
		LoseAnswers: true,
	})
	lost := place(t.Context(), r, "lost", "plate lost")
	s.platformFault(faulter.Fault{Path: "/v1/table"})
	eventually(t, "r1 ready", func() error { return readyz(r) })
	again := place(t.Context(), r, "lost", "plate lost")
	other := place(t.Context(), r, "lost", "another plate")
	runs := s.runs(t)
	checkPlaced(t, runs, "plate down", []placed{down})
	checkPlaced(t, runs, "plate lost", []placed{lost, again})
	if other.status != http.StatusUnprocessableEntity {
		t.Errorf("got status %d for another body under the key, want 422", other.status)
	}
	if runs["another plate"] != 0 {
		t.Error("another body under a used key ran")
	}
}
