package assigner_test

import (
	"fmt"
	"slices"
	"testing"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/assigner"
)

// candidates returns n candidates, of which every strongInterval-th is strong.
func candidates(n, strongInterval int) []assigner.Candidate {
	var out []assigner.Candidate
	for i := range n {
		c := assigner.Candidate{
			Instance:  identifier.Instance(fmt.Sprintf("r%04d", i)),
			Processor: 200,
		}
		if i%strongInterval == 0 {
			c.Processor = 800
		}
		out = append(out, c)
	}
	return out
}

// TestWeakInstanceOwnsPool guards against a weak instance that owns a large pool and
// holds up the whole fleet, while stronger instances are there.
func TestWeakInstanceOwnsPool(t *testing.T) {
	for _, n := range []int{9, 60, 195, 1700} {
		list := candidates(n, 8)
		eligible := assigner.Eligible(list)
		for i := range 100 {
			owner, ok := assigner.Owner(identifier.Service(fmt.Sprintf("pool-%d", i)), eligible)
			if !ok {
				t.Fatalf("%d instances: got no owner", n)
			}
			k := slices.IndexFunc(list, func(c assigner.Candidate) bool { return c.Instance == owner })
			if got, want := list[k].Processor, uint32(800); got != want {
				t.Errorf("%d instances, pool %d: got an owner with %d thousandths of a core, want %d", n, i, got, want)
			}
		}
	}
}

// TestEligibleWithoutStrongest requires owners after the strong instances have gone,
// and where no instance says how strong it is.
func TestEligibleWithoutStrongest(t *testing.T) {
	list := candidates(9, 4)
	weak := slices.DeleteFunc(slices.Clone(list), func(c assigner.Candidate) bool { return c.Processor > 200 })
	if got, want := len(assigner.Eligible(weak)), len(weak); got != want {
		t.Errorf("weak instances alone: got %d eligible, want %d", got, want)
	}
	for i := range list {
		list[i].Processor = 0
	}
	if got, want := len(assigner.Eligible(list)), len(list); got != want {
		t.Errorf("unknown strength: got %d eligible, want %d", got, want)
	}
	if _, ok := assigner.Owner("pool", assigner.Eligible(nil)); ok {
		t.Error("no instance: got an owner")
	}
}

// TestUnlistedInstanceOwnsPool guards against an owner that has just started and has no list of
// endpoints while others have one, and against a pool without an owner if none has.
func TestUnlistedInstanceOwnsPool(t *testing.T) {
	for _, n := range []int{9, 60, 195, 1700} {
		list := candidates(n, 8)
		readers := assigner.Readers("", list)
		for i := range list {
			list[i].Unlisted = i%16 == 0
		}
		eligible := assigner.Eligible(list)
		for i, c := range list {
			if got, want := slices.Contains(eligible, c.Instance), i%8 == 0 && i%16 != 0; got != want {
				t.Fatalf("%d instances, instance %d: got eligible %v, want %v", n, i, got, want)
			}
		}
		if got := assigner.Readers("", list); !slices.Equal(got, readers) {
			t.Errorf("%d instances: got readers %v, want %v as with lists", n, got, readers)
		}
		for i := range list {
			list[i].Unlisted = list[i].Processor == 800
		}
		if got, want := len(assigner.Eligible(list)), n-(n+7)/8; got != want {
			t.Errorf("%d instances, all strong ones unlisted: got %d eligible, want %d", n, got, want)
		}
		for i := range list {
			list[i].Unlisted = true
		}
		if got, want := len(assigner.Eligible(list)), (n+7)/8; got != want {
			t.Errorf("%d instances, all unlisted: got %d eligible, want %d", n, got, want)
		}
	}
}
