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

// orderResult is the outcome of one request to place an order.
type orderResult struct {
	request string
	status  int
	ran     classifier.Ran
	err     error
}

func placeOrder(ctx context.Context, r *router, key, body string) orderResult {
	res, err := post(ctx, r.caller, councilKey, "/services/orders/orders", []byte(body), map[string]string{"Idempotency-Key": key})
	if err != nil {
		return orderResult{err: err}
	}
	defer res.Body.Close()
	result := orderResult{
		request: res.Header.Get("Heatherhold-Request"),
		status:  res.StatusCode,
		ran:     classifier.Ran(res.Header.Get("Heatherhold-Ran")),
	}
	_, result.err = io.Copy(io.Discard, res.Body)
	return result
}

// runCounts returns how often the plain service ran each body and each request.
func (s *system) runCounts(t *testing.T) map[string]int {
	t.Helper()
	return fetchCounts(t, "http://"+s.services["s1"].address+"/runs")
}

// startedStreams returns how many streams an engine has started.
func (s *system) startedStreams(t *testing.T, engine string) int {
	t.Helper()
	return len(fetchCounts(t, "http://"+s.engines[engine].address+"/v1/started"))
}

// fetchCounts returns the counters that a stand-in serves at url.
func fetchCounts(t *testing.T, url string) map[string]int {
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

// checkOrderResults compares the responses to an order with what the service ran.
func checkOrderResults(t *testing.T, runs map[string]int, body string, results []orderResult) {
	t.Helper()
	if runs[body] > 1 {
		t.Errorf("%s ran %d times, want at most once", body, runs[body])
	}
	for _, r := range results {
		if r.status == http.StatusCreated && runs[body] != 1 {
			t.Errorf("%s was confirmed but ran %d times, want once", body, runs[body])
		}
		if r.ran == classifier.RanNo && runs["request:"+r.request] != 0 {
			t.Errorf("%s was refused with \"ran: no\" but request %s ran", body, r.request)
		}
	}
}

// TestOrdersWithKilledRouter kills a router at random moments while it places orders
// and then sends the same idempotency keys to another router. No order may run twice.
func TestOrdersWithKilledRouter(t *testing.T) {
	const seed, rounds, keys = 1, 8, 8
	s := newSystem(t, 2)
	random := rand.New(rand.NewPCG(seed, seed))
	resultsByBody := make(map[string][]orderResult)
	for round := range rounds {
		first, second := make([]orderResult, keys), make([]orderResult, keys)
		var group errgroup.Group
		for k := range keys {
			group.Go(func() error {
				body := fmt.Sprintf("plate %d-%d", round, k)
				first[k] = placeOrder(t.Context(), s.routers["r1"], body, body)
				return nil
			})
		}
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		s.routers["r1"].signal(t, syscall.SIGKILL)
		_ = group.Wait()
		for k := range keys {
			group.Go(func() error {
				body := fmt.Sprintf("plate %d-%d", round, k)
				second[k] = placeOrder(t.Context(), s.routers["r2"], body, body)
				if second[k].err != nil {
					t.Errorf("%s: %v", body, second[k].err)
				}
				return nil
			})
		}
		_ = group.Wait()
		for k := range keys {
			body := fmt.Sprintf("plate %d-%d", round, k)
			resultsByBody[body] = append(resultsByBody[body], first[k], second[k])
		}
		<-s.routers["r1"].done
		s.startRouter("r1")
		eventually(t, "r1 ready", func() error { return checkReadyz(s.routers["r1"]) })
	}
	runs := s.runCounts(t)
	for body, results := range resultsByBody {
		checkOrderResults(t, runs, body, results)
	}
}

// TestPausedClaimant pauses a router after it has claimed a key and before it sends
// the order. The same key at another router must not run the order a second time.
func TestPausedClaimant(t *testing.T) {
	s := newSystem(t, 2)
	s.setPlatformFault(faulter.Fault{
		Path:    "/v1/table/commit",
		DelayMS: 300,
	})
	var first orderResult
	var group errgroup.Group
	group.Go(func() error {
		first = placeOrder(t.Context(), s.routers["r1"], "key", "plate")
		return nil
	})
	time.Sleep(150 * time.Millisecond)
	s.routers["r1"].signal(t, syscall.SIGSTOP)
	time.Sleep(time.Second)
	s.setPlatformFault(faulter.Fault{Path: "/v1/table/commit"})
	second := placeOrder(t.Context(), s.routers["r2"], "key", "plate")
	if second.status == http.StatusCreated {
		t.Errorf("got status %d while the claimant was paused, want a refusal", second.status)
	}
	s.routers["r1"].signal(t, syscall.SIGCONT)
	_ = group.Wait()
	third := placeOrder(t.Context(), s.routers["r2"], "key", "plate")
	checkOrderResults(t, s.runCounts(t), "plate", []orderResult{first, second, third})
	if first.status == http.StatusCreated && third.status != http.StatusCreated {
		t.Errorf("got status %d after the claimant's response, want that response repeated", third.status)
	}
}

// TestOrdersWithoutTable checks that an order is refused without being run while the
// table service is down. It also checks that an order runs at most once if the
// table service's responses are lost after its writes took effect.
func TestOrdersWithoutTable(t *testing.T) {
	s := newSystem(t, 1)
	r := s.routers["r1"]
	s.setPlatformFault(faulter.Fault{
		Path:   "/v1/table",
		Outage: true,
	})
	refused := placeOrder(t.Context(), r, "down", "plate down")
	if refused.ran != classifier.RanNo {
		t.Errorf("got %+v in an outage, want ran no", refused)
	}
	s.setPlatformFault(faulter.Fault{
		Path:          "/v1/table",
		LoseResponses: true,
	})
	lost := placeOrder(t.Context(), r, "lost", "plate lost")
	s.setPlatformFault(faulter.Fault{Path: "/v1/table"})
	eventually(t, "r1 ready", func() error { return checkReadyz(r) })
	repeated := placeOrder(t.Context(), r, "lost", "plate lost")
	otherBody := placeOrder(t.Context(), r, "lost", "another plate")
	runs := s.runCounts(t)
	checkOrderResults(t, runs, "plate down", []orderResult{refused})
	checkOrderResults(t, runs, "plate lost", []orderResult{lost, repeated})
	if otherBody.status != http.StatusUnprocessableEntity {
		t.Errorf("got status %d for another body under the key, want 422", otherBody.status)
	}
	if runs["another plate"] != 0 {
		t.Error("another body under a used key ran")
	}
}
