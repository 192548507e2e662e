package planner_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
)

// pairLinks has a delay and a transfer time of its own for each pair of data centres.
type pairLinks struct{}

func (pairLinks) Delay(from, to identifier.DataCentre) time.Duration {
	if from == to {
		return 0
	}
	return time.Duration(len(from)+3*len(to)) * time.Millisecond
}

func (pairLinks) TransferTime(from, to identifier.DataCentre, prompt identifier.Tokens) time.Duration {
	if from == to {
		return 0
	}
	return time.Duration(2*len(from)+len(to)) * time.Duration(prompt) * time.Millisecond
}

const smallModel = 6

// drawFleet draws a few endpoints of a small model in three data centres.
func drawFleet(t *rapid.T) []planner.Runner {
	var runners []planner.Runner
	for i := range rapid.IntRange(1, 8).Draw(t, "endpoints") {
		from := rapid.IntRange(0, smallModel-1).Draw(t, "from")
		to := rapid.IntRange(from+1, smallModel).Draw(t, "to")
		runners = append(runners, planner.Runner{
			Stage: identifier.Stage{
				EndpointIncarnation: identifier.EndpointIncarnation{
					Endpoint: identifier.Endpoint(fmt.Sprintf("e%d", i)),
				},
				From: identifier.Layer(from),
				To:   identifier.Layer(to),
			},
			DataCentre:   rapid.SampledFrom([]identifier.DataCentre{"a", "bb", "cccc"}).Draw(t, "data centre"),
			Slots:        4,
			TokenTime:    time.Duration(rapid.IntRange(1, 9).Draw(t, "token time")) * time.Millisecond,
			PrefillTime:  time.Duration(rapid.IntRange(0, 9).Draw(t, "prefill time")) * time.Microsecond,
			Running:      rapid.IntRange(0, 4).Draw(t, "running"),
			MemoryTokens: identifier.Tokens(rapid.IntRange(0, 200).Draw(t, "memory")),
			Backlog:      time.Duration(rapid.IntRange(0, 50).Draw(t, "backlog")) * time.Millisecond,
		})
	}
	return runners
}

// chainCost returns the least cost of any chain that continues at a layer behind the
// stage in prev, which is nil at the start, by trying all.
func chainCost(runners []planner.Runner, need planner.Need, prev *planner.Runner, layer identifier.Layer) float64 {
	if layer == need.Layers {
		return 0
	}
	least := math.Inf(1)
	for i := range runners {
		r := &runners[i]
		connects := r.From == layer || (need.Partial && prev != nil && r.From < layer)
		if !connects || r.To <= layer || r.Running >= r.Slots {
			continue
		}
		fraction := float64(r.To-layer) / float64(r.To-r.From)
		if r.MemoryTokens > 0 && identifier.Tokens(fraction*float64(need.Tokens())) > r.MemoryTokens {
			continue
		}
		least = math.Min(least, stageCost(r, need, prev, fraction)+chainCost(runners, need, r, r.To))
	}
	return least
}

// stageCost is the cost of one stage and of the hop to it.
func stageCost(r *planner.Runner, need planner.Need, prev *planner.Runner, fraction float64) float64 {
	load := float64(r.Running+1) / float64(r.Slots)
	token := fraction * float64(r.TokenTime) * (0.5 + 0.5*load) * float64(need.Output) * (1 + load*load)
	cost := token + fraction*float64(need.Prompt)*float64(r.PrefillTime) + 4*float64(r.Backlog)
	if prev == nil {
		return cost + float64(pairLinks{}.Delay(need.Entry, r.DataCentre))*float64(need.Output)
	}
	return cost + float64(pairLinks{}.Delay(prev.DataCentre, r.DataCentre))*float64(need.Output) +
		float64(pairLinks{}.TransferTime(prev.DataCentre, r.DataCentre, need.Prompt))
}

// pickedCost is the cost of the chain that Best has picked.
func pickedCost(runners []planner.Runner, need planner.Need, picked []int) float64 {
	sum := 0.0
	layer := identifier.Layer(0)
	var prev *planner.Runner
	for _, i := range picked {
		r := &runners[i]
		sum += stageCost(r, need, prev, float64(r.To-layer)/float64(r.To-r.From))
		prev, layer = r, r.To
	}
	return sum
}

// TestBestMissesCheapestChain guards against a search that drops the start of the
// cheapest chain, or finds none where there is one: Best is compared with a search
// that tries all chains.
func TestBestMissesCheapestChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runners := drawFleet(t)
		need := planner.Need{
			Layers:  smallModel,
			Partial: rapid.Bool().Draw(t, "partial"),
			Prompt:  identifier.Tokens(rapid.IntRange(1, 100).Draw(t, "prompt")),
			Output:  identifier.Tokens(rapid.IntRange(1, 50).Draw(t, "output")),
			Entry:   "bb",
		}
		want := chainCost(runners, need, nil, 0)
		picked := planner.Best(runners, pairLinks{}, need)
		if picked == nil {
			if !math.IsInf(want, 1) {
				t.Fatalf("got no chain, want one that costs %g", want)
			}
			return
		}
		got := pickedCost(runners, need, picked)
		const tolerance = 1e-9
		if math.Abs(got-want) > tolerance*want {
			t.Errorf("cost of chain %v: got %g, want %g", picked, got, want)
		}
	})
}
