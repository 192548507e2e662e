// Package estimator works out, from the declared figures of engines, what an
// endpoint can do with the layers that it holds. It is pure.
package estimator

import (
	"math"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
)

// Runner returns what the planner wants to know of an endpoint.
func Runner(e *cataloguer.Engine, p *cataloguer.Endpoint) planner.Runner {
	kind := kindOf(e, p.Accelerator)
	slots := Slots(e, p.Accelerator, p.To-p.From)
	share := shareOf(e, p.To-p.From)
	return planner.Runner{
		Stage: identifier.Stage{
			Life:    p.Life,
			Address: p.Address,
			From:    p.From,
			To:      p.To,
			Version: p.Version,
		},
		DataCentre:  p.DataCentre,
		Slots:       max(slots, 1),
		Room:        identifier.Tokens(overcommit * e.Room(p.Accelerator, p.To-p.From)),
		TokenTime:   scale(step(e, slots), kind.Pace*share),
		PrefillTime: scale(e.Read, kind.Read*share),
	}
}

// Share returns the n-th part of what an endpoint can do, for an instance that
// schedules alone beside n-1 others.
func Share(r planner.Runner, n int) planner.Runner {
	n = max(n, 1)
	r.Slots = max(r.Slots/n, 1)
	if r.Room > 0 {
		r.Room = max(r.Room/identifier.Tokens(n), 1)
	}
	return r
}

// overcommit is how much more than the memory for requests is given out: few of
// them are at their longest at the same time.
const overcommit = 1.1

// Slots returns how many requests of the usual size an accelerator that holds
// n layers has room for at once.
func Slots(e *cataloguer.Engine, a cataloguer.Accelerator, n identifier.Layer) int {
	return min(int(e.Room(a, n)/Usual(e)), e.Slots)
}

// Usual returns the tokens that a request of the usual size holds on average
// while it runs.
func Usual(e *cataloguer.Engine) float64 {
	return max(float64(e.Prompt)+float64(e.Answer)/2, 1)
}

// step is the time of one token step through all layers at pace 1 with n
// requests of the usual size.
func step(e *cataloguer.Engine, n int) time.Duration {
	each := float64(e.PerSequence) + float64(e.PerThousand)*Usual(e)/1000
	return e.Step + time.Duration(float64(n)*each)
}

func kindOf(e *cataloguer.Engine, a cataloguer.Accelerator) cataloguer.Kind {
	k, ok := e.Accelerators[a]
	if !ok {
		return cataloguer.Kind{
			Pace: 1,
			Read: 1,
		}
	}
	return k
}

func shareOf(e *cataloguer.Engine, n identifier.Layer) float64 {
	if e.Layers <= 0 {
		return 1
	}
	return float64(n) / float64(e.Layers)
}

func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(math.Ceil(float64(d) * by))
}

// Links tells the delays and transfer times between an engine's data centres.
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

// pipeCrowding is how many times its own time a prompt's transfer costs: all
// chains share the pipe, and every event on it waits behind the prompts.
const pipeCrowding = 60

// Transfer returns the time that a prompt spends on the pipe between two data centres.
func (l Links) Transfer(from, to identifier.DataCentre, prompt identifier.Tokens) time.Duration {
	if from == to || l.Engine.PipeRate <= 0 {
		return 0
	}
	seconds := l.Engine.ActivationBytes * float64(prompt) / l.Engine.PipeRate
	return time.Duration(pipeCrowding * seconds * float64(time.Second))
}
