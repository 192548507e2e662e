package simulator

import (
	"container/list"
	"fmt"
	"slices"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/scheduler"
)

// Shares of a token's time with all slots in use: fixedShare is needed whatever the
// batch size, and loadShare is scaled by the fraction of the slots in use.
const (
	fixedShare = 0.5
	loadShare  = 0.5
)

// start runs a granted request on its chain, or queues it again after
// detectionDelay if an endpoint of the chain has failed.
func (r *Run) start(d scheduler.Decision) {
	s, ok := r.streams[d.Request]
	if !ok {
		return
	}
	s.chain = d.Chain
	s.attempts++
	s.chainSerial++
	r.result.ChainsOpened++
	if s.attempts == 1 {
		r.result.StartedRequests++
	}
	for _, stage := range s.chain {
		if r.dead[stage.Endpoint] {
			r.schedule(detectionDelay, func() { r.requeue(d.Request, stage.EndpointIncarnation) })
			return
		}
	}
	prefill := r.prefillTime(s)
	s.decodeStart = r.now.Add(prefill)
	for _, stage := range s.chain {
		r.running[stage.Endpoint]++
	}
	s.gap = r.tokenGap(s)
	s.worstGap = max(s.worstGap, s.gap)
	serial := s.chainSerial
	if !s.firstTokenScheduled {
		s.firstTokenScheduled = true
		r.schedule(prefill+s.gap, func() { r.recordFirstToken(s) })
	}
	r.schedule(prefill+s.gap*time.Duration(s.request.Output-s.generated), func() { r.finish(d.Request, serial) })
}

// detectionDelay is the time until the failure of an endpoint is detected, counted
// from the failure or from the start of a chain through the failed endpoint.
const detectionDelay = 100 * time.Millisecond

// recordFirstToken records the time from a stream's arrival to its first token.
func (r *Run) recordFirstToken(s *stream) {
	s.firstTokenWait = r.now.Sub(s.arrived)
}

// tokenGap returns the time between two tokens on the stream's chain, with the
// current load and link delays.
func (r *Run) tokenGap(s *stream) time.Duration {
	total := time.Duration(0)
	dataCentre := r.Runners[0].DataCentre
	for _, stage := range s.chain {
		runner := r.runner(stage.Endpoint)
		load := float64(r.running[stage.Endpoint]) / float64(runner.Slots)
		total += time.Duration(float64(runner.TokenTime) * (fixedShare + loadShare*load))
		total += r.Links.Delay(dataCentre, runner.DataCentre)
		dataCentre = runner.DataCentre
	}
	return total
}

// prefillTime returns the time to process the part of the prompt that is not
// cached, over all stages. The tokens generated so far belong to the prompt. It
// also updates the prefix caches and the counts of prompt and cached tokens.
func (r *Run) prefillTime(s *stream) time.Duration {
	total := time.Duration(0)
	prompt := s.request.Prompt + s.generated
	for i, stage := range s.chain {
		runner := r.runner(stage.Endpoint)
		cached := r.cache(stage.Endpoint).use(s.request.Prefix, s.request.Prompt)
		if i == 0 {
			r.result.PromptTokens += prompt
			r.result.CachedTokens += cached
		}
		total += time.Duration(prompt-cached) * runner.PrefillTime
	}
	return total
}

// maxCachedPrefixes is how many prefixes an endpoint caches.
const maxCachedPrefixes = 16

// cache is an endpoint's prefix cache, with the most recently used prefix first.
type cache struct {
	order   *list.List
	entries map[uint64]*list.Element
}

func (r *Run) cache(e identifier.Endpoint) *cache {
	c, ok := r.caches[e]
	if !ok {
		c = &cache{
			order:   list.New(),
			entries: make(map[uint64]*list.Element),
		}
		r.caches[e] = c
	}
	return c
}

// use returns how many of the prompt's tokens are cached, and marks the prefix as
// the most recently used one. It adds the prefix if it is new, and then evicts the
// least recently used prefix if the cache is over its limit.
func (c *cache) use(prefix uint64, prompt identifier.Tokens) identifier.Tokens {
	if prefix == 0 {
		return 0
	}
	if e, ok := c.entries[prefix]; ok {
		c.order.MoveToFront(e)
		return prompt * prefixPercent / 100
	}
	c.entries[prefix] = c.order.PushFront(prefix)
	if c.order.Len() > maxCachedPrefixes {
		delete(c.entries, c.order.Remove(c.order.Back()).(uint64))
	}
	return 0
}

// prefixPercent is the size of the shared prefix, in percent of the prompt.
const prefixPercent = 80

// finish ends a stream after its last token, unless it has lost the chain that
// chainSerial identifies.
func (r *Run) finish(id identifier.Request, chainSerial int) {
	s, ok := r.streams[id]
	if !ok || s.chainSerial != chainSerial {
		return
	}
	delete(r.streams, id)
	r.addTokens(s, r.now)
	r.releaseSlots(s)
	r.result.Finished = append(r.result.Finished, Finished{
		Request:        s.request,
		FirstTokenWait: s.firstTokenWait,
		WorstGap:       s.worstGap,
		End:            r.now.Sub(epoch),
	})
	r.Policy.Release(r.now, id, scheduler.Outcome{
		Tokens: s.request.Output - s.generated,
		Gap:    s.gap,
	})
	r.decide()
}

// addTokens spreads the tokens that s has generated on its current chain evenly
// over the buckets from decodeStart to until, and returns their number.
func (r *Run) addTokens(s *stream, until time.Time) identifier.Tokens {
	if !until.After(s.decodeStart) {
		return 0
	}
	total := until.Sub(s.decodeStart)
	tokens := min(identifier.Tokens(total/max(s.gap, 1)), s.request.Output-s.generated)
	if tokens <= 0 {
		return 0
	}
	rate := float64(tokens) / total.Seconds()
	for at := s.decodeStart; at.Before(until); {
		i := int(at.Sub(epoch) / Bucket)
		next := epoch.Add(time.Duration(i+1) * Bucket)
		if next.After(until) {
			next = until
		}
		if i < len(r.result.TokensPerBucket) {
			r.result.TokensPerBucket[i] += rate * next.Sub(at).Seconds()
		}
		at = next
	}
	return tokens
}

func (r *Run) releaseSlots(s *stream) {
	for _, stage := range s.chain {
		r.running[stage.Endpoint]--
	}
}

// revoke takes a running stream off its chain and queues its request again.
func (r *Run) revoke(id identifier.Request) {
	s, ok := r.streams[id]
	if !ok || s.chain == nil {
		return
	}
	s.generated += r.addTokens(s, r.now)
	s.chainSerial++
	r.releaseSlots(s)
	s.chain = nil
	r.Policy.Release(r.now, id, scheduler.Outcome{Tokens: s.generated})
	r.ask(id)
}

// requeue takes a stream off a chain that failed at the given endpoint, and queues
// its request again to resume on another chain.
func (r *Run) requeue(id identifier.Request, failed identifier.EndpointIncarnation) {
	s, ok := r.streams[id]
	if !ok {
		return
	}
	s.chainSerial++
	s.chain = nil
	r.Policy.Release(r.now, id, scheduler.Outcome{
		Tokens: s.generated,
		Failed: failed,
	})
	r.ask(id)
	r.decide()
}

// applyFault slows down the link of f and stops the endpoints that f kills.
func (r *Run) applyFault(f Fault) {
	r.Links.Apply(f)
	for _, e := range f.Kill {
		r.kill(e)
	}
}

// kill stops an endpoint at once. Its streams are queued again when the failure is
// detected.
func (r *Run) kill(e identifier.Endpoint) {
	r.dead[e] = true
	for _, id := range r.streamsOn(e) {
		s := r.streams[id]
		s.generated += r.addTokens(s, r.now)
		r.releaseSlots(s)
		s.chain = nil
		failed := identifier.EndpointIncarnation{
			Endpoint:    e,
			Incarnation: r.runner(e).Incarnation,
		}
		s.chainSerial++
		r.schedule(detectionDelay, func() { r.requeue(id, failed) })
	}
}

// streamsOn returns the requests that run on an endpoint, sorted.
func (r *Run) streamsOn(e identifier.Endpoint) []identifier.Request {
	var ids []identifier.Request
	for id, s := range r.streams {
		for _, stage := range s.chain {
			if stage.Endpoint == e && s.decodeStart.After(time.Time{}) {
				ids = append(ids, id)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// Fleet returns a fixed set of endpoints for replays: count endpoints for each of
// the ranges. A range's endpoints get the data centres in turn, and the next token
// time after each round of the data centres.
func Fleet(ranges [][2]identifier.Layer, count int, dataCentres []identifier.DataCentre, tokenTimes []time.Duration, slots int) []planner.Runner {
	var out []planner.Runner
	for n, layers := range ranges {
		for i := range count {
			out = append(out, planner.Runner{
				Stage: identifier.Stage{
					EndpointIncarnation: identifier.EndpointIncarnation{
						Endpoint:    identifier.Endpoint(fmt.Sprintf("e%d-%02d", n, i)),
						Incarnation: 1,
					},
					From:    layers[0],
					To:      layers[1],
					Version: "v1",
				},
				DataCentre:  dataCentres[i%len(dataCentres)],
				Slots:       slots,
				TokenTime:   tokenTimes[(i/len(dataCentres)+n)%len(tokenTimes)],
				PrefillTime: tokenTimes[(i/len(dataCentres)+n)%len(tokenTimes)] / prefillSpeedup,
			})
		}
	}
	return out
}

// prefillSpeedup is how many times faster an endpoint reads a prompt token than it
// generates an output token.
const prefillSpeedup = 100
