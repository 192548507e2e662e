package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
)

// slowLinks reports a delay of 1 ms and a prompt transfer cost of 1 s between
// different data centres, and none within one.
type slowLinks struct{}

func (slowLinks) Delay(from, to identifier.DataCentre) time.Duration {
	if from == to {
		return 0
	}
	return time.Millisecond
}

func (slowLinks) TransferTime(from, to identifier.DataCentre, _ identifier.Tokens) time.Duration {
	if from == to {
		return 0
	}
	return time.Second
}

func runner(name string, centre identifier.DataCentre, from, to identifier.Layer) planner.Runner {
	return planner.Runner{
		Stage: identifier.Stage{
			EndpointIncarnation: identifier.EndpointIncarnation{
				Endpoint:    identifier.Endpoint(name),
				Incarnation: 1,
			},
			From: from,
			To:   to,
		},
		DataCentre:  centre,
		Slots:       10,
		TokenTime:   time.Millisecond,
		PrefillTime: 10 * time.Microsecond,
	}
}

func firstIncarnation(name string) identifier.EndpointIncarnation {
	return identifier.EndpointIncarnation{
		Endpoint:    identifier.Endpoint(name),
		Incarnation: 1,
	}
}

const layers = 40

func need() planner.Need {
	return planner.Need{
		Layers:  layers,
		Partial: true,
		Prompt:  500,
		Output:  100,
		Entry:   "a",
	}
}

// TestSlowLink checks that a chain leaves its data centre only if it must, and
// then crosses between data centres at most once.
func TestSlowLink(t *testing.T) {
	runners := []planner.Runner{
		runner("a1", "a", 0, 10),
		runner("a2", "a", 10, 20),
		runner("a3", "a", 20, 30),
		runner("a4", "a", 30, 40),
		runner("b1", "b", 0, 20),
		runner("b2", "b", 20, 40),
	}
	runners[4].TokenTime *= 3
	runners[5].TokenTime *= 3
	if got, want := len(planner.Best(runners, slowLinks{}, need())), 4; got != want {
		t.Errorf("stages with all runners available: got %d, want %d within the data centre", got, want)
	}
	n := need()
	n.Avoid = []identifier.EndpointIncarnation{firstIncarnation("a2")}
	stages := planner.Stages(runners, planner.Best(runners, slowLinks{}, n))
	crossings := 0
	for i := 1; i < len(stages); i++ {
		if stages[i].Endpoint[0] != stages[i-1].Endpoint[0] {
			crossings++
		}
	}
	if crossings > 1 {
		t.Errorf("chain %v: got %d crossings, want at most 1", stages, crossings)
	}
}

// TestBacklog checks that a prompt goes to the runner that can process it first.
func TestBacklog(t *testing.T) {
	runners := []planner.Runner{
		runner("a1", "a", 0, layers),
		runner("a2", "a", 0, layers),
	}
	runners[0].Backlog = time.Second
	if got := planner.Best(runners, slowLinks{}, need()); !slices.Equal(got, []int{1}) {
		t.Errorf("got runners %v, want the one without a backlog", got)
	}
}

// TestRepair checks that a chain that loses a stage keeps all others, so that only
// the new stages have to process the tokens that the request has so far.
func TestRepair(t *testing.T) {
	runners := []planner.Runner{
		runner("a1", "a", 0, 10),
		runner("a2", "a", 10, 20),
		runner("a3", "a", 20, 40),
		runner("x1", "a", 0, 16),
		runner("x2", "a", 16, 40),
	}
	chain := planner.Stages(runners, []int{0, 1, 2})
	n := need()
	n.Avoid = []identifier.EndpointIncarnation{firstIncarnation("a2")}
	got := fmt.Sprint(stageStrings(planner.Repair(runners, slowLinks{}, n, chain)))
	if want := "[a1:0-10 x1:10-16 x2:16-20 a3:20-40]"; got != want {
		t.Errorf("got chain %s, want %s", got, want)
	}
	n.Avoid = []identifier.EndpointIncarnation{firstIncarnation("a1")}
	if got := planner.Repair(runners, slowLinks{}, n, chain); got != nil {
		t.Errorf("first stage to be avoided: got chain %v, want none", stageStrings(got))
	}
}

func stageStrings(chain []identifier.Stage) []string {
	var out []string
	for _, s := range chain {
		out = append(out, fmt.Sprintf("%s:%d-%d", s.Endpoint, s.From, s.To))
	}
	return out
}

// TestChains checks for random fleets that the chains of Best and Repair run every
// layer once and in order, on endpoints that hold the layers, with no endpoint
// twice and none that is to be avoided.
func TestChains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var runners []planner.Runner
		for i := range rapid.IntRange(1, 14).Draw(t, "runners") {
			from := identifier.Layer(rapid.IntRange(0, layers-1).Draw(t, "from"))
			to := identifier.Layer(rapid.IntRange(int(from)+1, layers).Draw(t, "to"))
			centre := rapid.SampledFrom([]identifier.DataCentre{"a", "b"}).Draw(t, "centre")
			r := runner(fmt.Sprintf("r%d", i), centre, from, to)
			r.Running = rapid.IntRange(0, r.Slots).Draw(t, "running")
			runners = append(runners, r)
		}
		n := need()
		n.Partial = rapid.Bool().Draw(t, "partial")
		chain := planner.Stages(runners, planner.Best(runners, slowLinks{}, n))
		if len(chain) == 0 {
			return
		}
		checkChain(t, runners, n, chain)
		n.Avoid = []identifier.EndpointIncarnation{chain[rapid.IntRange(0, len(chain)-1).Draw(t, "lost")].EndpointIncarnation}
		if repaired := planner.Repair(runners, slowLinks{}, n, chain); repaired != nil {
			checkChain(t, runners, n, repaired)
			if repaired[0] != chain[0] {
				t.Errorf("got first stage %v, want %v", repaired[0], chain[0])
			}
		}
	})
}

func checkChain(t *rapid.T, runners []planner.Runner, n planner.Need, chain []identifier.Stage) {
	if !planner.Check(chain, layers, "") {
		t.Errorf("chain %v does not run every layer once and in order", stageStrings(chain))
	}
	seen := make(map[identifier.EndpointIncarnation]bool)
	for _, s := range chain {
		holds := slices.ContainsFunc(runners, func(r planner.Runner) bool {
			return r.EndpointIncarnation == s.EndpointIncarnation && r.From <= s.From && s.To <= r.To
		})
		if !holds || seen[s.EndpointIncarnation] || slices.Contains(n.Avoid, s.EndpointIncarnation) {
			t.Errorf("chain %v: stage %s is not held by its endpoint, occurs twice or is to be avoided", stageStrings(chain), s.Endpoint)
		}
		seen[s.EndpointIncarnation] = true
	}
}
