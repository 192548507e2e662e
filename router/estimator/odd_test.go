package estimator_test

import (
	"math"
	"testing"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/estimator"
	"heatherhold.dev/router/planner"
)

// noLinks is a network without delays.
func noLinks() estimator.Links {
	return estimator.Links{Engine: engine()}
}

// need is what a request through all layers of engine needs.
var need = planner.Need{
	Layers: 40,
	Prompt: 900,
	Output: 200,
}

// TestEndpointWithoutMemoryChosen guards against an endpoint without room for any request that
// counts as one of unlimited memory: its row names more layers than fit into its accelerator, or
// an accelerator that is not declared.
func TestEndpointWithoutMemoryChosen(t *testing.T) {
	for name, endpoint := range map[string]cataloguer.Endpoint{
		"more layers than fit":       {Accelerator: "k", To: 40},
		"accelerator not declared":   {Accelerator: "other", To: 40},
		"layers beyond any model":    {Accelerator: "k", To: 2_000_000_000},
		"layers from far beyond":     {Accelerator: "k", From: 2_000_000_000, To: 2_147_483_647},
		"no accelerator, one layer":  {To: 1},
		"memory that layers fill up": {Accelerator: "k", To: 30},
	} {
		t.Run(name, func(t *testing.T) {
			r := estimator.Runner(engine(), &endpoint)
			n := need
			n.Layers = r.To - r.From
			r.From, r.To = 0, n.Layers
			if got := planner.Best([]planner.Runner{r}, noLinks(), n); got != nil {
				t.Errorf("got a chain through an endpoint with memory for %d tokens, want none", r.MemoryTokens)
			}
		})
	}
}

// TestRunnerOfOddEndpoint checks that whatever layers an endpoint names, no figure that is
// estimated for it overflows.
func TestRunnerOfOddEndpoint(t *testing.T) {
	bounds := []identifier.Layer{0, 1, 20, 30, 39, 40, 41, 2_000_000_000, math.MaxInt32}
	for _, accelerator := range []cataloguer.Accelerator{"k", "", "other"} {
		for i, from := range bounds {
			for _, to := range bounds[i+1:] {
				checkRunner(t, cataloguer.Endpoint{
					Accelerator: accelerator,
					From:        from,
					To:          to,
				})
			}
		}
	}
}

func checkRunner(t *testing.T, endpoint cataloguer.Endpoint) {
	t.Helper()
	r := estimator.Runner(engine(), &endpoint)
	if r.Slots < 1 || r.TokenTime < 0 || r.PrefillTime < 0 || r.MemoryTokens < 1 {
		t.Errorf("%s holds %d to %d: got %d slots, memory for %d tokens, times %v and %v, want none below its range",
			endpoint.Accelerator, endpoint.From, endpoint.To, r.Slots, r.MemoryTokens, r.TokenTime, r.PrefillTime)
	}
	if got := planner.Capacity([]planner.Runner{r}, 40, ""); got < 0 {
		t.Errorf("%s holds %d to %d: got a capacity of %v, want 0 or more", endpoint.Accelerator, endpoint.From, endpoint.To, got)
	}
}
