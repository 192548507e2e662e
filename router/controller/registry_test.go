package controller_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/controller"
)

// awaitLists waits until the registry was read n times.
func (r *fakeRegistry) awaitLists(t *testing.T, n int) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for {
		r.mu.Lock()
		got := r.lists
		r.mu.Unlock()
		if got >= n {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got %d readings of the registry, want %d", got, n)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestRegisteredAgainForOldCopy guards against an instance that writes its entry again at
// each reading of the registry, because it reads a copy from before it was written, and
// against one that never does after the write failed.
func TestRegisteredAgainForOldCopy(t *testing.T) {
	const interval = 100 * time.Millisecond
	r := &fakeRegistry{failures: 1}
	startConfigured(t, func(c *controller.Controller) {
		c.Settings.Platform.ListInterval = identifier.DurationOf(interval)
		c.Source.Registry = r
	})
	start := time.Now()
	const readings = 12
	r.awaitLists(t, readings)
	elapsed := time.Since(start)
	r.mu.Lock()
	defer r.mu.Unlock()
	// The write that fails, the next one, and another after each three intervals.
	want := 2 + int(elapsed/(3*interval))
	if got := r.registrations; got < 2 || got > want {
		t.Errorf("registrations in %d readings: got %d, want 2 to %d", readings, got, want)
	}
}

// TestRegistryEntryLostInRestoredStore guards against an instance that stays out of the
// registry for long after the store was restored, because it wrote its entry a moment before.
func TestRegistryEntryLostInRestoredStore(t *testing.T) {
	r := &fakeRegistry{era: 1}
	startConfigured(t, func(c *controller.Controller) {
		c.Settings.Platform.ListInterval = identifier.DurationOf(200 * time.Millisecond)
		c.Source.Registry = r
	})
	r.awaitLists(t, 1)
	r.mu.Lock()
	r.era = 2
	r.mu.Unlock()
	// The entry of the second reading is written before the third one.
	r.awaitLists(t, 3)
	r.mu.Lock()
	defer r.mu.Unlock()
	if got, want := r.registrations, 2; got != want {
		t.Errorf("registrations: got %d, want %d", got, want)
	}
}
