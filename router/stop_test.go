package main_test

import (
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestCallCutAtEndOfPlannedStop guards against connections that are closed without an answer at the
// end of a planned stop of a router with its own interface. The service does not answer in time.
func TestCallCutAtEndOfPlannedStop(t *testing.T) {
	s := newSystem(t, 1)
	r := s.routers["r1"]
	short := &router{
		caller:   freeAddress(t),
		operator: freeAddress(t),
		peer:     freeAddress(t),
		settings: s.dir + "/short.toml",
	}
	settings := strings.NewReplacer(`notice = "500ms"`, `notice = "300ms"`, `finish = "30s"`, `finish = "700ms"`).Replace(s.routerSettings("short", short))
	if err := os.WriteFile(short.settings, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	s.routers["short"] = short
	s.startRouter("short")
	eventually(t, "the router is ready", func() error { return checkReadyz(short) })
	checkRepeatedOrder(t, r, "before")
	checkRepeatedOrder(t, short, "before-2")
	s.services["s1"].signal(t, syscall.SIGSTOP)
	defer s.services["s1"].signal(t, syscall.SIGCONT)
	type result struct {
		status int
		err    error
	}
	results := make(chan result, 1)
	time.AfterFunc(0, func() {
		res, err := post(t.Context(), short.caller, councilKey, "/services/orders/orders", []byte("plate"), map[string]string{"Idempotency-Key": "held"})
		if err != nil {
			results <- result{err: err}
			return
		}
		res.Body.Close()
		results <- result{status: res.StatusCode}
	})
	time.Sleep(200 * time.Millisecond)
	short.signal(t, syscall.SIGTERM)
	if got := <-results; got.err != nil || got.status != http.StatusBadGateway {
		t.Errorf("got status %d, error %v; want a complete answer with 502", got.status, got.err)
	}
	select {
	case <-short.done:
	case <-time.After(waitLimit):
		t.Error("the router did not stop")
	}
}
