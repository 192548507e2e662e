package sharer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"heatherhold.dev/core/identifier"
)

// newsBound is the time within which a change that the store has confirmed is known to each
// instance in touch, whoever is silent. The users' platform sends no request to an endpoint two
// seconds after it left.
const newsBound = 1500 * time.Millisecond

// silentFleet is a fleet, and which of its instances fall silent together.
type silentFleet struct {
	instances int
	sites     int
	silent    func(f *fleet, seed uint64) []identifier.Instance
}

// pairOfReaders returns two of the readers.
func pairOfReaders(f *fleet, seed uint64) []identifier.Instance {
	readers := f.instances[seed%uint64(len(f.instances))].publisher.View().Readers
	return readers[:2]
}

// tenth returns a tenth of the instances, with the readers of two sites among them.
func tenth(f *fleet, seed uint64) []identifier.Instance {
	r := rand.New(rand.NewPCG(seed, seed))
	out := slices.Clone(pairOfReaders(f, seed))
	for _, n := range r.Perm(len(f.instances)) {
		if name := f.instances[n].name; len(out) < len(f.instances)/10 && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// TestSilentReadersKeepNewsBack guards against lists that grow old behind readers of the store that
// are silent: the change is known everywhere within newsBound, and the instances do not all ask the
// store instead.
func TestSilentReadersKeepNewsBack(t *testing.T) {
	for name, c := range map[string]silentFleet{
		"two of 9":        {instances: 9, sites: 3, silent: pairOfReaders},
		"two of 60":       {instances: 60, sites: 3, silent: pairOfReaders},
		"a tenth of 190":  {instances: 190, sites: 5, silent: tenth},
		"a tenth of 1700": {instances: 1700, sites: 12, silent: tenth},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				f := newFleet(c.instances, c.sites)
				play(t, f, func(t *testing.T) {
					time.Sleep(10*time.Second + time.Duration(seed)*170*time.Millisecond)
					silent := c.silent(f, seed)
					f.setSilent(silent, true)
					before := f.store.callsWithout(silent)
					f.store.commit("e0", true)
					f.store.commit("e9", false)
					time.Sleep(newsBound)
					late := 0
					for _, i := range f.instances {
						if !slices.Contains(silent, i.name) && !i.upToDate() {
							late++
						}
					}
					if late > 0 {
						t.Errorf("instances that do not know the change after %v: got %d of %d, want none", newsBound, late, c.instances)
					}
					// Each reader asks every quarter of a second at most.
					if got, want := f.store.callsWithout(silent)-before, c.sites*8; got > want {
						t.Errorf("calls to the store meanwhile: got %d, want %d at most", got, want)
					}
					f.setSilent(silent, false)
					time.Sleep(10 * time.Second)
				})
			})
		}
	}
}

// setSilent makes instances answer nobody and hear nothing, or ends that.
func (f *fleet) setSilent(names []identifier.Instance, silent bool) {
	f.set(func() {
		for _, name := range names {
			f.noPeers[name] = silent
			f.noStore[name] = silent
		}
	})
}

// callsWithout returns the number of calls so far of the instances that are not silent.
func (s *fakeStore) callsWithout(silent []identifier.Instance) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for name, calls := range s.calls {
		if !slices.Contains(silent, name) {
			n += calls
		}
	}
	return n
}
