package main_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startOn starts a router with settings of its own on a store's address.
func (s *storeSystem) startOn(t *testing.T, name, store string, seeds ...string) {
	t.Helper()
	text := s.storeSettings(store, 100*time.Millisecond, time.Second)
	text = strings.Replace(text, `instance = "r1"`, fmt.Sprintf("instance = %q", name), 1)
	if len(seeds) > 0 {
		text = strings.Replace(text, "seeds = []", `seeds = ["`+strings.Join(seeds, `", "`)+`"]`, 1)
	}
	s.settings = filepath.Join(s.dir, name+"-store.toml")
	if err := os.WriteFile(s.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.process = s.start(name, "router", "--settings", s.settings)
}

// TestRestartDuringStoreOutage guards against a process that restarts while the store is unavailable
// and serves nothing until the store is back, although its peer knows all endpoints.
func TestRestartDuringStoreOutage(t *testing.T) {
	arrived := make(chan bool, 100)
	plain := func(http.ResponseWriter, *http.Request) {}
	first := newStoreSystem(t, 100*time.Millisecond, time.Second, plain, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- true
		<-r.Context().Done()
	})
	var down atomic.Bool
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if down.Load() {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		first.store.ServeHTTP(w, r)
	}))
	t.Cleanup(store.Close)
	t.Cleanup(store.CloseClientConnections)
	address := store.Listener.Addr().String()
	first.signal(t, syscall.SIGKILL)
	<-first.done
	first.startOn(t, "r1", address)
	second := &storeSystem{
		system: first.system,
		router: &router{
			caller:   freeAddress(t),
			operator: freeAddress(t),
			peer:     freeAddress(t),
		},
		store: first.store,
		ready: freeAddress(t),
	}
	second.startOn(t, "r2", address, first.peer)
	eventually(t, "both routers are ready", func() error {
		if err := first.checkReady(); err != nil {
			return err
		}
		return second.checkReady()
	})
	down.Store(true)
	second.signal(t, syscall.SIGKILL)
	<-second.done
	began := time.Now()
	second.startOn(t, "r2", address, first.peer)
	eventually(t, "the restarted router is ready", second.checkReady)
	for n := 0; ; n++ {
		got := <-second.send(t, header("GET", fmt.Sprintf("/again/%d", n), "X-Deadline-Ms: 1000"))
		if got.status == http.StatusOK {
			break
		}
		if time.Since(began) > 4*time.Second {
			t.Fatalf("plain request %v after the restart: got status %d and error %v, want 200", time.Since(began), got.status, got.err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	second.send(t, header("POST", "/draft/1", "X-Deadline-Ms: 3000", "X-Model: x", "X-Token-Count: 10,5"))
	select {
	case <-arrived:
	case <-time.After(2 * time.Second):
		t.Error("the model request did not reach the endpoint")
	}
	if text := second.logText(); !strings.Contains(text, "copy of a table taken from an instance") {
		t.Error("the restarted router has no line that it took its peer's list")
	}
}
