// Package simulator replays a trace through a policy with fake endpoints in
// fake time. An endpoint's token time grows with its batch; a stream holds a
// slot of every stage of its chain from its start to its end.
package simulator

import (
	"container/heap"
	"fmt"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/replayer/tracer"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/scheduler"
)

// Policy decides; scheduler.Pool is the real one.
type Policy interface {
	Ask(now time.Time, a scheduler.Ask)
	Release(now time.Time, r identifier.Request, o scheduler.Outcome)
	SetRunners(reports []scheduler.Report)
	Decide(now time.Time) []scheduler.Decision
}

// Links is the true delay of each link, by data centre.
type Links map[[2]identifier.DataCentre]time.Duration

// Delay returns the delay of one hop.
func (l Links) Delay(from, to identifier.DataCentre) time.Duration {
	if from == to {
		return 0
	}
	return l[[2]identifier.DataCentre{from, to}]
}

// Fault takes endpoints away, or slows a link, at a time.
type Fault struct {
	At time.Duration
	// Kill lists endpoints that die.
	Kill []identifier.Endpoint
	// Slow sets the delay of a link, both ways.
	Slow      [2]identifier.DataCentre
	SlowDelay time.Duration
}

// Apply sets the delay of the link that f slows, both ways.
func (l Links) Apply(f Fault) {
	if f.SlowDelay <= 0 {
		return
	}
	l[f.Slow] = f.SlowDelay
	l[[2]identifier.DataCentre{f.Slow[1], f.Slow[0]}] = f.SlowDelay
}

// Run is one replay. Set the exported fields first.
type Run struct {
	Policy  Policy
	Runners []planner.Runner
	Links   Links
	Trace   []tracer.Request
	Faults  []Fault
	// Length is when the replay ends.
	Length time.Duration
	// Lag is how old load reports are.
	Lag time.Duration
	// Misjudge multiplies the output length that the policy is told.
	Misjudge float64

	now     time.Time
	events  events
	serial  int
	running map[identifier.Endpoint]int
	dead    map[identifier.Endpoint]bool
	streams map[identifier.Request]*stream
	result  Result
	caches  map[identifier.Endpoint]*cache
}

// stream is a request on its way.
type stream struct {
	request  tracer.Request
	arrived  time.Time
	chain    []identifier.Stage
	gap      time.Duration
	worst    time.Duration
	wait     time.Duration
	begun    time.Time
	first    bool
	done     identifier.Tokens
	attempts int
	serial   int
}

// Finished is a request's outcome.
type Finished struct {
	tracer.Request
	// Wait is the time to the first token.
	Wait time.Duration
	// Gap is the longest mean time between tokens of its chains.
	Gap time.Duration
	// End is when it ended, after the start of the replay.
	End     time.Duration
	Refused bool
}

// Result is what a replay showed.
type Result struct {
	Finished []Finished
	// Made holds the tokens made in each tenth of a second.
	Made []float64
	// Sends counts the chains opened, Requests those that started.
	Sends    int
	Requests int
	// Prompt and Reused count prompt tokens, and those found in a cache.
	Prompt identifier.Tokens
	Reused identifier.Tokens
}

// Bucket is the width of one entry of Result.Made.
const Bucket = 100 * time.Millisecond

const decideInterval = 10 * time.Millisecond

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

var epoch = time.Unix(0, 0)

func (r *Run) after(d time.Duration, do func()) {
	r.serial++
	heap.Push(&r.events, event{
		at:  r.now.Add(d),
		seq: r.serial,
		do:  do,
	})
}

// Do replays the trace and returns what it showed.
func (r *Run) Do() Result {
	r.now = epoch
	r.running = make(map[identifier.Endpoint]int)
	r.dead = make(map[identifier.Endpoint]bool)
	r.streams = make(map[identifier.Request]*stream)
	r.caches = make(map[identifier.Endpoint]*cache)
	r.result.Made = make([]float64, r.Length/Bucket+1)
	r.report()
	for i, q := range r.Trace {
		r.after(q.At, func() { r.arrive(i, q) })
	}
	for _, f := range r.Faults {
		r.after(f.At, func() { r.fail(f) })
	}
	r.after(decideInterval, r.tick)
	end := epoch.Add(r.Length)
	for len(r.events) > 0 && !r.events[0].at.After(end) {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	for _, s := range r.streams {
		if s.chain != nil {
			r.made(s, end)
		}
	}
	return r.result
}

func (r *Run) tick() {
	r.decide()
	r.after(decideInterval, r.tick)
}

// report tells the policy what the endpoints say of themselves, late.
func (r *Run) report() {
	var reports []scheduler.Report
	for _, k := range r.Runners {
		if !r.dead[k.Endpoint] {
			reports = append(reports, scheduler.Report{
				Runner:   k,
				Reported: r.running[k.Endpoint],
			})
		}
	}
	r.after(r.Lag, func() { r.Policy.SetRunners(reports) })
	r.after(max(r.Lag, reportInterval), r.report)
}

const reportInterval = 200 * time.Millisecond

func (r *Run) arrive(i int, q tracer.Request) {
	id := identifier.Request(fmt.Sprintf("q%07d", i))
	r.streams[id] = &stream{
		request: q,
		arrived: r.now,
	}
	r.ask(id)
	r.decide()
}

func (r *Run) ask(id identifier.Request) {
	s := r.streams[id]
	left := s.request.Output - s.done
	// The policy is told what the caller allows, not how long the answer is.
	allowed := identifier.Tokens(float64(max(left, callerLimit)) * r.misjudge())
	r.Policy.Ask(r.now, scheduler.Ask{
		Request:  id,
		Customer: s.request.Customer,
		Rank:     s.request.Rank,
		Tier:     s.request.Tier,
		Weight:   1,
		Entry:    r.Runners[0].DataCentre,
		Prompt:   s.request.Prompt + s.done,
		Output:   allowed,
		Prefix:   s.request.Prefix,
		Resumed:  s.attempts > 0,
	})
}

// callerLimit is the answer length that callers allow, in tokens.
const callerLimit = 1000

func (r *Run) misjudge() float64 {
	if r.Misjudge == 0 {
		return 1
	}
	return r.Misjudge
}

func (r *Run) decide() {
	for _, d := range r.Policy.Decide(r.now) {
		switch d.Verdict {
		case scheduler.Granted:
			r.start(d)
		case scheduler.Refused:
			r.refuse(d.Request)
		case scheduler.Revoked:
			r.revoke(d.Request)
		}
	}
}

func (r *Run) refuse(id identifier.Request) {
	s := r.streams[id]
	delete(r.streams, id)
	r.result.Finished = append(r.result.Finished, Finished{
		Request: s.request,
		End:     r.now.Sub(epoch),
		Refused: true,
	})
}

func (r *Run) runner(e identifier.Endpoint) planner.Runner {
	for _, k := range r.Runners {
		if k.Endpoint == e {
			return k
		}
	}
	return planner.Runner{}
}
