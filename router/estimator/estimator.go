// Package estimator calculates the capacity and speed of an endpoint from the
// declared figures of its engine and the layers that it holds. Its functions have no
// side effects.
package estimator

import (
	"math"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
)

// Runner returns the planner's description of an endpoint.
func Runner(e *cataloguer.Engine, endpoint *cataloguer.Endpoint) planner.Runner {
	kind := acceleratorKind(e, endpoint.Accelerator)
	slots := Slots(e, endpoint.Accelerator, endpoint.To-endpoint.From)
	fraction := layerFraction(e, endpoint.To-endpoint.From)
	return planner.Runner{
		Stage: identifier.Stage{
			EndpointIncarnation: endpoint.EndpointIncarnation,
			Address:             endpoint.Address,
			From:                endpoint.From,
			To:                  endpoint.To,
			Version:             endpoint.Version,
		},
		DataCentre:   endpoint.DataCentre,
		Slots:        max(slots, 1),
		MemoryTokens: memoryTokens(e, endpoint),
		TokenTime:    scale(stepTime(e, slots), kind.StepFactor*fraction),
		PrefillTime:  scale(e.PrefillTime, kind.PrefillFactor*fraction),
	}
}

// memoryTokens returns an endpoint's memory for requests. It returns 0, which stands for
// memory without a limit, only if the engine does not declare the figures: an endpoint
// without room has memory for a token, and so for no request.
func memoryTokens(e *cataloguer.Engine, endpoint *cataloguer.Endpoint) identifier.Tokens {
	n := identifier.Tokens(memoryShare * e.ContextCapacity(endpoint.Accelerator, endpoint.To-endpoint.From))
	if e.Layers > 0 && e.ContextBytes > 0 && len(e.Accelerators) > 0 {
		return max(n, 1)
	}
	return n
}

// Share returns r with one n-th of its slots and memory, but at least one slot and
// memory for one token, for one of n instances that each schedule alone.
func Share(r planner.Runner, n int) planner.Runner {
	n = max(n, 1)
	r.Slots = max(r.Slots/n, 1)
	if r.MemoryTokens > 0 {
		r.MemoryTokens = max(r.MemoryTokens/identifier.Tokens(n), 1)
	}
	return r
}

// memoryShare is the share of the available memory that is given out to requests, each with
// its mean use. The rest is for responses that become longer than predicted: an endpoint
// whose memory runs out preempts the newest request, whose prompt must then be processed again.
const memoryShare = 0.97

// Slots returns how many requests of the usual size fit at once into the memory of
// an accelerator that holds n layers, but at most the engine's number of slots.
func Slots(e *cataloguer.Engine, a cataloguer.Accelerator, n identifier.Layer) int {
	return min(int(e.ContextCapacity(a, n)/UsualTokens(e)), e.Slots)
}

// UsualTokens returns the mean number of tokens that a request of the usual size
// keeps in memory while it runs.
func UsualTokens(e *cataloguer.Engine) float64 {
	return max(float64(e.UsualPrompt)+float64(e.UsualOutput)/2, 1)
}

// stepTime returns the time of one token step through all layers with n requests of
// the usual size, on an accelerator with a StepFactor of 1.
func stepTime(e *cataloguer.Engine, n int) time.Duration {
	perRequest := float64(e.StepTimePerSequence) + float64(e.StepTimePerThousand)*UsualTokens(e)/1000
	return e.StepTime + time.Duration(float64(n)*perRequest)
}

func acceleratorKind(e *cataloguer.Engine, a cataloguer.Accelerator) cataloguer.Kind {
	k, ok := e.Accelerators[a]
	if !ok {
		return cataloguer.Kind{
			StepFactor:    1,
			PrefillFactor: 1,
		}
	}
	return k
}

func layerFraction(e *cataloguer.Engine, n identifier.Layer) float64 {
	if e.Layers <= 0 {
		return 1
	}
	return float64(n) / float64(e.Layers)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(math.Ceil(float64(d) * factor))
}

// Links provides the delays and transfer costs between an engine's data centres.
type Links struct {
	Engine *cataloguer.Engine
}

// Delay returns the one-way delay of one hop.
func (l Links) Delay(from, to identifier.DataCentre) time.Duration {
	if from == to {
		return 0
	}
	for _, d := range l.Engine.Delays {
		if (d.From == from && d.To == to) || (d.From == to && d.To == from) {
			return d.Time
		}
	}
	return 0
}

// transferContention is the cost of a prompt's transfer as a multiple of its own
// transfer time: all chains share the link between two data centres, and every event
// on the link waits behind the prompts.
const transferContention = 60

// TransferTime returns the cost, as a time, of a prompt's transfer between two data
// centres: its transfer time multiplied by transferContention.
func (l Links) TransferTime(from, to identifier.DataCentre, prompt identifier.Tokens) time.Duration {
	if from == to || l.Engine.InterCentreBandwidth <= 0 {
		return 0
	}
	seconds := l.Engine.ActivationBytes * float64(prompt) / l.Engine.InterCentreBandwidth
	return time.Duration(transferContention * seconds * float64(time.Second))
}
