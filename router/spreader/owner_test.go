package spreader_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/assigner"
)

const (
	pool = identifier.Service("drafts")
	// ownerTime is within what time docs/DESIGN.md says that a pool has its
	// next owner.
	ownerTime = term
)

// newNine returns a network of today's size.
func newNine(t *testing.T, seed uint64) *network {
	w := newNetwork(t, seed)
	for len(w.nodes) < 9 {
		w.join(0)
	}
	for range 200 {
		w.tick()
	}
	return w
}

// owners returns who owns the pool in the eyes of the nodes that are awake.
func (w *network) owners() map[identifier.Instance]int {
	owners := make(map[identifier.Instance]int)
	for _, n := range w.nodes {
		if !n.paused {
			owner, _ := assigner.Owner(pool, n.state.Live())
			owners[owner]++
		}
	}
	return owners
}

// TestOwnerStays has no faults, but for slow messages: the owner never changes.
func TestOwnerStays(t *testing.T) {
	for seed := range uint64(10) {
		w := newNine(t, seed)
		for range 60 * time.Second / interval {
			w.tick()
			if got := w.owners(); len(got) != 1 {
				t.Fatalf("seed %d: got owners %v, want one", seed, got)
			}
		}
	}
}

// TestNextOwner freezes the owner: all others agree on the next one in time,
// and on the first again once it is back.
func TestNextOwner(t *testing.T) {
	for seed := range uint64(50) {
		w := newNine(t, seed)
		var first *node
		for name := range w.owners() {
			for _, n := range w.nodes {
				if n.state.Self.GetInstance() == string(name) {
					first = n
				}
			}
		}
		first.paused = true
		took := w.settle(func(owner identifier.Instance) bool { return string(owner) != first.state.Self.GetInstance() })
		if took > ownerTime {
			t.Errorf("seed %d: got the next owner after %v, want %v", seed, took, ownerTime)
		}
		first.paused = false
		took = w.settle(func(owner identifier.Instance) bool { return string(owner) == first.state.Self.GetInstance() })
		if took > 2*ownerTime {
			t.Errorf("seed %d: got the first owner back after %v, want %v", seed, took, 2*ownerTime)
		}
	}
}

// settle returns the time until all agree on an owner that ok accepts.
func (w *network) settle(ok func(identifier.Instance) bool) time.Duration {
	begun := w.now
	for range time.Minute / interval {
		w.tick()
		owners := w.owners()
		for owner := range owners {
			if len(owners) == 1 && ok(owner) {
				return w.now.Sub(begun)
			}
		}
	}
	return time.Minute
}
