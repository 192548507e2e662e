package comparer

import (
	"slices"
	"sort"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/replayer/simulator"
)

// Measures holds the results of one replay.
type Measures struct {
	Scenario string
	Strategy string
	// Throughput is the rate of generated tokens after the warm-up, as a fraction
	// of the fleet's upper bound.
	Throughput float64
	// UrgentFirstToken and UrgentGap are the 95th percentiles, over the completed
	// urgent requests, of the time to the first token and of the time between tokens
	// on a request's slowest chain.
	UrgentFirstToken time.Duration
	UrgentGap        time.Duration
	// Share is each rank's fraction of the output tokens of the requests that were
	// completed after the warm-up.
	Share map[identifier.Rank]float64
	// PayingRate is the output tokens per second of paying customers' requests
	// that were completed after the warm-up.
	PayingRate float64
	// RefusedShare is the fraction that was refused of the requests that were
	// completed or refused, and UrgentRefusedShare that of the urgent ones.
	RefusedShare       float64
	UrgentRefusedShare float64
	// CompletedTokens is the output tokens of each customer's completed requests.
	CompletedTokens map[identifier.Customer]float64
	// JainIndex is Jain's fairness index over the customers' ratios of tokens
	// received to their fair share.
	JainIndex float64
	// WorstRatio is the lowest of these ratios, at most 1.
	WorstRatio float64
	// Recovery is the time from the last fault until the token rate is back at
	// 95% of the bound after the faults; -1 if it never is, 0 without faults.
	Recovery time.Duration
	// ChainsPerRequest is the mean number of chains opened for a request that got
	// at least one.
	ChainsPerRequest float64
	// CacheHitRatio is the fraction of the prompt tokens found in a prefix cache.
	CacheHitRatio float64
	// TokensPerBucket is the tokens generated in each simulator.Bucket, a tenth of
	// a second.
	TokensPerBucket []float64
}

// Measure replays a scenario with one strategy.
func Measure(s Scenario, strategy Strategy) Measures {
	links := newLinks()
	// The policy gets its own links, which faults don't change.
	run := simulator.Run{
		Policy:       strategy.NewPolicy(newLinks()),
		Runners:      fleet(),
		Links:        links,
		Trace:        s.Trace(),
		Faults:       s.Faults,
		Duration:     duration,
		ReportLag:    s.ReportLag,
		LengthFactor: s.LengthFactor,
	}
	result := run.Do()
	m := Measures{
		Scenario:         s.Name,
		Strategy:         strategy.Name,
		Share:            make(map[identifier.Rank]float64),
		TokensPerBucket:  result.TokensPerBucket,
		ChainsPerRequest: float64(result.ChainsOpened) / float64(max(result.StartedRequests, 1)),
		CacheHitRatio:    float64(result.CachedTokens) / float64(max(result.PromptTokens, 1)),
	}
	m.setLatencies(result)
	m.setShares(result)
	m.setFairness(s, result)
	m.Throughput = rate(result.TokensPerBucket, warmUp, duration) / meanBound(s, result)
	if len(s.Faults) > 0 {
		m.Recovery = recovery(s, result)
	}
	return m
}

// promptRatio returns the number of prompt tokens for each output token of the
// completed requests.
func promptRatio(r simulator.Result) float64 {
	prompt, output := 0.0, 0.0
	for _, f := range r.Finished {
		if !f.Refused {
			prompt += float64(f.Prompt)
			output += float64(f.Output)
		}
	}
	return prompt / max(output, 1)
}

// Rate returns the mean number of tokens per second after the warm-up.
func (m *Measures) Rate() float64 {
	return rate(m.TokensPerBucket, warmUp, duration)
}

// rate returns the mean number of tokens per second between two times.
func rate(buckets []float64, from, to time.Duration) float64 {
	sum := 0.0
	for i := from / simulator.Bucket; i < to/simulator.Bucket; i++ {
		sum += buckets[i]
	}
	return sum / (to - from).Seconds()
}

func (m *Measures) setLatencies(r simulator.Result) {
	var firstTokens, gaps []time.Duration
	for _, f := range r.Finished {
		if f.Rank == "urgent" && !f.Refused {
			firstTokens = append(firstTokens, f.FirstTokenWait)
			gaps = append(gaps, f.WorstGap)
		}
	}
	m.UrgentFirstToken = percentile95(firstTokens)
	m.UrgentGap = percentile95(gaps)
}

// percentile95 sorts d and returns its 95th percentile, or 0 if d is empty.
func percentile95(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[len(d)*95/100]
}

func (m *Measures) setShares(r simulator.Result) {
	total, refused, urgent, urgentRefused := 0.0, 0, 0, 0
	for _, f := range r.Finished {
		if f.Rank == "urgent" {
			urgent++
		}
		if f.Refused {
			refused++
			if f.Rank == "urgent" {
				urgentRefused++
			}
			continue
		}
		if f.End < warmUp {
			continue
		}
		m.Share[f.Rank] += float64(f.Output)
		total += float64(f.Output)
		if f.Tier == identifier.Paying {
			m.PayingRate += float64(f.Output) / (duration - warmUp).Seconds()
		}
	}
	for rank := range m.Share {
		m.Share[rank] /= max(total, 1)
	}
	m.RefusedShare = float64(refused) / float64(max(len(r.Finished), 1))
	m.UrgentRefusedShare = float64(urgentRefused) / float64(max(urgent, 1))
}

// setFairness compares the tokens that each customer received with its fair share
// of the tokens of all completed requests: see maxMinShares.
func (m *Measures) setFairness(s Scenario, r simulator.Result) {
	requested := make(map[identifier.Customer]float64)
	for _, q := range s.Trace() {
		requested[q.Customer] += float64(q.Output)
	}
	received := make(map[identifier.Customer]float64)
	total := 0.0
	for _, f := range r.Finished {
		if !f.Refused {
			received[f.Customer] += float64(f.Output)
			total += float64(f.Output)
		}
	}
	m.CompletedTokens = received
	fairShare := maxMinShares(requested, total)
	sum, squares := 0.0, 0.0
	m.WorstRatio = 1
	for c := range requested {
		ratio := received[c] / max(fairShare[c], 1)
		sum += ratio
		squares += ratio * ratio
		m.WorstRatio = min(m.WorstRatio, ratio)
	}
	m.JainIndex = sum * sum / (float64(len(requested)) * max(squares, 1e-9))
}

// maxMinShares returns the max-min fair division of total: no customer gets more
// than it requested, and all that get less get the same.
func maxMinShares(requested map[identifier.Customer]float64, total float64) map[identifier.Customer]float64 {
	shares := make(map[identifier.Customer]float64)
	for remaining := total; remaining > 1 && len(shares) < len(requested); {
		equalShare := remaining / float64(len(requested)-len(shares))
		satisfied := false
		for c, tokens := range requested {
			if _, done := shares[c]; !done && tokens <= equalShare {
				shares[c] = tokens
				remaining -= tokens
				satisfied = true
			}
		}
		if satisfied {
			continue
		}
		for c := range requested {
			if _, done := shares[c]; !done {
				shares[c] = equalShare
			}
		}
	}
	return shares
}

// meanBound returns the upper bound on the fleet's tokens per second after the
// warm-up, averaged over time: each fault changes the bound from its time on.
func meanBound(s Scenario, r simulator.Result) float64 {
	faults := append(slices.Clone(s.Faults), simulator.Fault{At: duration})
	sum := 0.0
	start := warmUp
	for i, f := range faults {
		sum += boundAfter(faults[:i], r) * (f.At - start).Seconds()
		start = f.At
	}
	return sum / (duration - warmUp).Seconds()
}

// boundAfter returns the upper bound on the fleet's tokens per second once the
// faults have happened.
func boundAfter(faults []simulator.Fault, r simulator.Result) float64 {
	runners, links := fleet(), newLinks()
	for _, f := range faults {
		links.Apply(f)
		for i := range runners {
			if slices.Contains(f.Kill, runners[i].Endpoint) {
				runners[i].Slots = 0
			}
		}
	}
	bound, err := simulator.Bound(runners, links, runners[0].DataCentre, promptRatio(r))
	if err != nil {
		// The fleet, its links and the faults are fixed in this package, so an
		// error here is a bug.
		panic(err)
	}
	return bound
}

// rateWindow is the time over which the token rate is averaged, to detect recovery
// and for the plot.
const rateWindow = time.Second

// recovery returns the time from the last fault until the token rate is back at
// recoveredShare of the bound after the faults, or -1 if it never is.
func recovery(s Scenario, r simulator.Result) time.Duration {
	last := s.Faults[len(s.Faults)-1].At
	bound := boundAfter(s.Faults, r)
	const recoveredShare = 0.95
	for start := last; start+rateWindow <= duration; start += simulator.Bucket {
		if rate(r.TokensPerBucket, start, start+rateWindow) >= recoveredShare*bound {
			return start - last
		}
	}
	return -1
}
