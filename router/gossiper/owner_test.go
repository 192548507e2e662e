package gossiper_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/assigner"
)

const (
	pool = identifier.Service("drafts")
	// ownerChangeLimit is the time within which a pool gets its next owner
	// according to docs/DESIGN.md.
	ownerChangeLimit = term
)

// newNineNodes returns a network of nine nodes, the present size of the system.
func newNineNodes(t *testing.T, seed uint64) *network {
	w := newNetwork(t, seed)
	for len(w.nodes) < 9 {
		w.addNode(0)
	}
	for range 200 {
		w.tick()
	}
	return w
}

// owners returns how many of the nodes that are not paused regard each instance
// as the pool's owner.
func (w *network) owners() map[identifier.Instance]int {
	owners := make(map[identifier.Instance]int)
	for _, n := range w.nodes {
		if !n.paused {
			owner, _ := assigner.Owner(pool, assigner.Eligible(n.state.Candidates()))
			owners[owner]++
		}
	}
	return owners
}

// TestOwnerStable checks that all nodes agree on one owner at every tick while
// the only faults are delayed messages.
func TestOwnerStable(t *testing.T) {
	for seed := range uint64(10) {
		w := newNineNodes(t, seed)
		for range 60 * time.Second / interval {
			w.tick()
			if got := w.owners(); len(got) != 1 {
				t.Fatalf("seed %d: got owners %v, want one", seed, got)
			}
		}
	}
}

// TestOwnerFailover pauses the owner and checks that all other nodes agree on the
// next owner in time, and that all agree on the first one again once it resumes.
func TestOwnerFailover(t *testing.T) {
	for seed := range uint64(50) {
		w := newNineNodes(t, seed)
		var firstOwner *node
		for name := range w.owners() {
			for _, n := range w.nodes {
				if n.state.Self.GetInstance() == string(name) {
					firstOwner = n
				}
			}
		}
		firstOwner.paused = true
		elapsed := w.timeToAgree(func(owner identifier.Instance) bool { return string(owner) != firstOwner.state.Self.GetInstance() })
		if elapsed > ownerChangeLimit {
			t.Errorf("seed %d: got the next owner after %v, want at most %v", seed, elapsed, ownerChangeLimit)
		}
		firstOwner.paused = false
		elapsed = w.timeToAgree(func(owner identifier.Instance) bool { return string(owner) == firstOwner.state.Self.GetInstance() })
		if elapsed > 2*ownerChangeLimit {
			t.Errorf("seed %d: got the first owner back after %v, want at most %v", seed, elapsed, 2*ownerChangeLimit)
		}
	}
}

// timeToAgree returns the time until all nodes that are not paused agree on an
// owner for which accept returns true, at most a minute.
func (w *network) timeToAgree(accept func(identifier.Instance) bool) time.Duration {
	start := w.now
	for range time.Minute / interval {
		w.tick()
		owners := w.owners()
		for owner := range owners {
			if len(owners) == 1 && accept(owner) {
				return w.now.Sub(start)
			}
		}
	}
	return time.Minute
}
