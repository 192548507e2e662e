package scheduler_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/scheduler"
)

// response is the length of a response and the caller's estimate of it.
type response struct {
	hint   identifier.Tokens
	actual identifier.Tokens
}

// maxResponse is the limit of each response.
const maxResponse = 4000

// fullMemory is the memory of each endpoint, in tokens. It is enough for some hundred requests,
// so that the test doesn't depend on few long ones.
const fullMemory = 200_000

// drawResponses returns n responses, short and long ones of the same customer. half of the
// estimates are too low and half too high, by the given spread of the logarithm; with useless
// they have nothing to do with the response.
func drawResponses(r *rand.Rand, n int, spread float64, useless bool) []response {
	length := func() float64 { return []float64{20, 600}[r.IntN(2)] }
	tokens := func(x float64) identifier.Tokens {
		return identifier.Tokens(max(1, min(x, maxResponse)))
	}
	var out []response
	for range n {
		hint := length()
		median := hint
		if useless {
			median = length()
		}
		out = append(out, response{
			hint:   tokens(hint),
			actual: tokens(median * math.Exp(spread*r.NormFloat64())),
		})
	}
	return out
}

// hinted returns a request with a response, of the customer of all.
func hinted(id int, x response, withHint bool) scheduler.Ask {
	a := promising(id, "order-1", time.Hour, 0)
	a.Customer = "c"
	a.Prompt = 0
	a.Output = maxResponse
	if withHint {
		a.OutputHint = x.hint
	}
	return a
}

// overcommitted teaches a pool and then fills its memory. It returns the mean memory that the
// requests which got a chain need while they run, as a share of the memory that there is.
func overcommitted(responses []response, memory identifier.Tokens, taught int, withHint bool) float64 {
	p := newPool(0)
	rank := rankOf(1, time.Hour, 0)
	rank.QueueLimit = len(responses)
	configureRanks(p, map[identifier.Rank]declarer.Rank{"order-1": rank})
	stages := reports(3)
	for i := range stages {
		stages[i].Slots = len(responses)
		stages[i].MemoryTokens = memory
	}
	p.SetRunners(stages)
	now := time.Unix(0, 0)
	need := 0.0
	for i, x := range responses {
		a := hinted(i, x, withHint)
		p.Ask(now, a)
		if i >= taught && i < len(responses)-1 {
			continue
		}
		for _, d := range p.Decide(now) {
			if d.Verdict == scheduler.Granted {
				need += float64(responses[requestNumber(d.Request)].actual) / 2
			}
		}
		if i < taught {
			p.Release(now, a.Request, scheduler.Outcome{Tokens: x.actual})
			need = 0
		}
	}
	return need / float64(memory)
}

// TestMemoryReservedByEstimate guards against memory that is reserved by the mean length of a
// customer's responses or by the estimate alone: the endpoints are filled with more than fits,
// or stay empty.
func TestMemoryReservedByEstimate(t *testing.T) {
	const taught, asked = 1000, 4000
	for name, test := range map[string]struct {
		spread  float64
		useless bool
	}{
		"exact":   {spread: 0},
		"good":    {spread: 0.3},
		"far off": {spread: 1},
		"useless": {spread: 0.3, useless: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(11, 11))
			responses := drawResponses(r, taught+asked, test.spread, test.useless)
			got := overcommitted(responses, fullMemory, taught, true)
			t.Logf("memory needed of what there is: %.3f with estimates, %.3f without", got, overcommitted(responses, fullMemory, taught, false))
			if got < 0.75 || got > 1.2 {
				t.Errorf("memory needed of what there is: got %.3f, want about 1", got)
			}
		})
	}
}

// TestLongEstimateReservesMore requires that a request with a long estimate reserves more than one
// with a short estimate, before any response has been seen.
func TestLongEstimateReservesMore(t *testing.T) {
	const memory = 20_000
	fits := func(hint identifier.Tokens) int {
		var responses []response
		for range 2000 {
			responses = append(responses, response{
				hint:   hint,
				actual: 2,
			})
		}
		return int(memory * overcommitted(responses, memory, 0, true))
	}
	if short, long := fits(20), fits(2000); long >= short/4 {
		t.Errorf("got %d requests with long estimates at a time and %d with short ones, want far fewer", long, short)
	}
}

// requestNumber returns the number of a request that ask named.
func requestNumber(r identifier.Request) int {
	n, err := strconv.Atoi(strings.TrimPrefix(string(r), "q"))
	if err != nil {
		panic(err)
	}
	return n
}
