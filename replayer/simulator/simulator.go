// Package simulator replays a trace through a scheduling policy with simulated
// endpoints and simulated time. An endpoint's token time grows with its batch; a
// stream occupies one slot of every stage of its chain from start to end.
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

// Policy is a scheduling policy; scheduler.Pool is the real one.
type Policy interface {
	Ask(now time.Time, a scheduler.Ask)
	Release(now time.Time, r identifier.Request, o scheduler.Outcome)
	SetRunners(reports []scheduler.Report)
	Decide(now time.Time) []scheduler.Decision
}

// Links holds the actual delay of each link, by the data centres at its ends.
type Links map[[2]identifier.DataCentre]time.Duration

// Delay returns the delay of one hop; it is 0 within a data centre.
func (l Links) Delay(from, to identifier.DataCentre) time.Duration {
	if from == to {
		return 0
	}
	return l[[2]identifier.DataCentre{from, to}]
}

// Fault makes endpoints fail, or slows down a link, at a given time.
type Fault struct {
	At time.Duration
	// Kill lists the endpoints that fail, for good.
	Kill []identifier.Endpoint
	// Link is the link whose delay becomes LinkDelay, in both directions; a
	// LinkDelay of 0 changes no link.
	Link      [2]identifier.DataCentre
	LinkDelay time.Duration
}

// Apply sets the delay of the link that f slows down, in both directions.
func (l Links) Apply(f Fault) {
	if f.LinkDelay <= 0 {
		return
	}
	l[f.Link] = f.LinkDelay
	l[[2]identifier.DataCentre{f.Link[1], f.Link[0]}] = f.LinkDelay
}

// Run is one replay. The exported fields are set before Do is called.
type Run struct {
	Policy Policy
	// Runners holds the endpoints. Requests enter in the data centre of the first.
	Runners []planner.Runner
	Links   Links
	Trace   []tracer.Request
	Faults  []Fault
	// Duration is the simulated time after which the replay ends.
	Duration time.Duration
	// ReportLag is the age of load reports when they reach the policy.
	ReportLag time.Duration
	// LengthFactor multiplies the output length that the policy is given; 0
	// means 1.
	LengthFactor float64

	now     time.Time
	events  events
	lastSeq int
	running map[identifier.Endpoint]int
	dead    map[identifier.Endpoint]bool
	streams map[identifier.Request]*stream
	result  Result
	caches  map[identifier.Endpoint]*cache
}

// stream is a request that has arrived and not ended. gap is the time between
// tokens on the current chain, fixed when the chain starts, and worstGap the longest
// gap so far. firstTokenScheduled is set once a chain has started. generated counts
// the tokens from earlier chains. chainSerial changes with the chain, so that a
// finish event that was scheduled for an earlier chain is ignored.
type stream struct {
	request             tracer.Request
	arrived             time.Time
	chain               []identifier.Stage
	gap                 time.Duration
	worstGap            time.Duration
	firstTokenWait      time.Duration
	decodeStart         time.Time
	firstTokenScheduled bool
	generated           identifier.Tokens
	attempts            int
	chainSerial         int
}

// Finished is a request that was completed or refused.
type Finished struct {
	tracer.Request
	// FirstTokenWait is the time from arrival to the first token as planned when
	// the first chain started, even if the stream lost that chain before.
	FirstTokenWait time.Duration
	// WorstGap is the time between tokens on the slowest of its chains.
	WorstGap time.Duration
	// End is the time from the start of the replay to the request's end.
	End     time.Duration
	Refused bool
}

// Result holds the outcome of a replay.
type Result struct {
	Finished []Finished
	// TokensPerBucket holds the tokens generated in each Bucket, a tenth of a
	// second.
	TokensPerBucket []float64
	// ChainsOpened counts the chains opened, and StartedRequests the requests for
	// which at least one was opened.
	ChainsOpened    int
	StartedRequests int
	// PromptTokens counts the prompt tokens of each chain that started, with the
	// tokens generated on earlier chains, and CachedTokens those found in the
	// prefix cache of the chain's first endpoint.
	PromptTokens identifier.Tokens
	CachedTokens identifier.Tokens
}

// Bucket is the time covered by one element of Result.TokensPerBucket.
const Bucket = 100 * time.Millisecond

const decideInterval = 10 * time.Millisecond

// event is a function to call at a simulated time. Events at the same time run in
// the order of seq.
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

func (r *Run) schedule(d time.Duration, do func()) {
	r.lastSeq++
	heap.Push(&r.events, event{
		at:  r.now.Add(d),
		seq: r.lastSeq,
		do:  do,
	})
}

// Do replays the trace and returns the result.
func (r *Run) Do() Result {
	r.now = epoch
	r.running = make(map[identifier.Endpoint]int)
	r.dead = make(map[identifier.Endpoint]bool)
	r.streams = make(map[identifier.Request]*stream)
	r.caches = make(map[identifier.Endpoint]*cache)
	r.result.TokensPerBucket = make([]float64, r.Duration/Bucket+1)
	r.sendReports()
	for i, request := range r.Trace {
		r.schedule(request.At, func() { r.arrive(i, request) })
	}
	for _, f := range r.Faults {
		r.schedule(f.At, func() { r.applyFault(f) })
	}
	r.schedule(decideInterval, r.tick)
	end := epoch.Add(r.Duration)
	for len(r.events) > 0 && !r.events[0].at.After(end) {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	for _, s := range r.streams {
		if s.chain != nil {
			r.addTokens(s, end)
		}
	}
	return r.result
}

func (r *Run) tick() {
	r.decide()
	r.schedule(decideInterval, r.tick)
}

// sendReports passes the endpoints' current load to the policy once ReportLag has
// elapsed, and schedules the next reports.
func (r *Run) sendReports() {
	var reports []scheduler.Report
	for _, runner := range r.Runners {
		if !r.dead[runner.Endpoint] {
			reports = append(reports, scheduler.Report{
				Runner:   runner,
				Reported: r.running[runner.Endpoint],
			})
		}
	}
	r.schedule(r.ReportLag, func() { r.Policy.SetRunners(reports) })
	r.schedule(max(r.ReportLag, reportInterval), r.sendReports)
}

const reportInterval = 200 * time.Millisecond

func (r *Run) arrive(i int, request tracer.Request) {
	id := identifier.Request(fmt.Sprintf("q%07d", i))
	r.streams[id] = &stream{
		request: request,
		arrived: r.now,
	}
	r.ask(id)
	r.decide()
}

func (r *Run) ask(id identifier.Request) {
	s := r.streams[id]
	remaining := s.request.Output - s.generated
	// The policy gets the maximum length that the caller allows, not the actual
	// length of the response.
	allowed := identifier.Tokens(float64(max(remaining, callerMaxTokens)) * r.lengthFactor())
	r.Policy.Ask(r.now, scheduler.Ask{
		Request:  id,
		Customer: s.request.Customer,
		Rank:     s.request.Rank,
		Tier:     s.request.Tier,
		Weight:   1,
		Entry:    r.Runners[0].DataCentre,
		Prompt:   s.request.Prompt + s.generated,
		Output:   allowed,
		Prefix:   s.request.Prefix,
		// The policy learns the length of the prefix as callers declare it.
		PrefixTokens: s.request.Prompt * prefixPercent / 100,
		Resumed:      s.attempts > 0,
	})
}

// callerMaxTokens is the maximum response length that callers allow, in tokens.
const callerMaxTokens = 1000

func (r *Run) lengthFactor() float64 {
	if r.LengthFactor == 0 {
		return 1
	}
	return r.LengthFactor
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
	for _, runner := range r.Runners {
		if runner.Endpoint == e {
			return runner
		}
	}
	return planner.Runner{}
}
