package planner_test

import (
	"slices"
	"testing"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
)

// runnerAt returns a runner of the layers [from, to) at an address.
func runnerAt(name, address string, from, to identifier.Layer) planner.Runner {
	r := runner(name, "a", from, to)
	r.Address = address
	return r
}

// TestChainThroughOneAddressTwice guards against a chain that names one address twice, which
// endpoints refuse: two rows name it, and nothing tells which of them is the endpoint's.
func TestChainThroughOneAddressTwice(t *testing.T) {
	runners := []planner.Runner{
		runnerAt("x", "10.0.0.1:80", 0, 10),
		runnerAt("odd", "10.0.0.1:80", 30, 40),
		runnerAt("y", "10.0.0.2:80", 10, 30),
		runnerAt("z", "10.0.0.3:80", 30, 40),
	}
	// The odd row is by far the cheapest for its layers.
	runners[1].TokenTime = 1
	planner.MarkShared(runners)
	planner.SortByEnd(runners, func(r *planner.Runner) *planner.Runner { return r })
	chain := planner.Stages(runners, planner.Best(runners, slowLinks{}, need()))
	if got, want := addressesOf(chain), []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}; !slices.Equal(got, want) {
		t.Errorf("got a chain through %v, want %v", got, want)
	}
	n := need()
	n.Avoid = []identifier.EndpointIncarnation{firstIncarnation("z")}
	if got := planner.Repair(runners, slowLinks{}, n, chain); got != nil {
		t.Errorf("got a replacement through %v, want none", addressesOf(got))
	}
}

func addressesOf(chain []identifier.Stage) []string {
	var out []string
	for _, s := range chain {
		out = append(out, s.Address)
	}
	return out
}
