package scheduler

import (
	"math"

	"heatherhold.dev/core/identifier"
)

const (
	// defaultLength is the predicted number of tokens of a response before any
	// response has been observed.
	defaultLength = 64.0
	// lengthGain is the smoothing factor of the mean response lengths.
	lengthGain = 0.2
	// hintGain is the smoothing factor of what is observed about the callers' estimates, once
	// many were observed. It is small because single ones may be wrong by a large factor.
	// What is assumed at first counts as much as firstHints observations.
	hintGain   = 0.01
	firstHints = 10
	// firstHintError and firstMeanError are the squared errors, of the logarithm of a
	// length, that are assumed before any response has been observed.
	firstHintError = 0.5
	firstMeanError = 1.0
	// maxCorrection limits, as a multiple of the combined length, how much of one response
	// corrects later predictions.
	maxCorrection = 10.0
)

type lengthKey struct {
	customer identifier.Customer
	rank     identifier.Rank
}

// lengths predicts the lengths of responses from those of earlier ones and from the callers'
// estimates. Errors are those of logarithms, since estimates are wrong by a factor. The
// results are means and not medians: the memory has to suffice for many requests together.
type lengths struct {
	// means holds the mean lengths of each customer and rank.
	means map[lengthKey]float64
	// hintError and meanError are the mean squared errors of the estimates and of means, for
	// requests with an estimate.
	hintError float64
	meanError float64
	// observed is the number of requests with an estimate so far.
	observed float64
	// actual and combined are the mean actual lengths of responses to requests with an
	// estimate, and the mean combined ones. The ratio of the means, and not the mean of the
	// ratios, makes the sum of many predictions right.
	actual   float64
	combined float64
}

func newLengths() *lengths {
	return &lengths{
		means:     make(map[lengthKey]float64),
		hintError: firstHintError,
		meanError: firstMeanError,
		actual:    defaultLength,
		combined:  defaultLength,
	}
}

func lengthKeyOf(a Ask) lengthKey {
	return lengthKey{
		customer: a.Customer,
		rank:     a.Rank,
	}
}

// predict returns the predicted number of tokens of the response to a.
func (x *lengths) predict(a Ask) float64 {
	n := x.mean(a)
	if a.OutputHint > 0 {
		n = x.combine(a) * x.actual / x.combined
	}
	return math.Min(n, float64(a.Output))
}

// mean returns the mean length of the responses to the customer and rank of a.
func (x *lengths) mean(a Ask) float64 {
	n, ok := x.means[lengthKeyOf(a)]
	if !ok {
		return defaultLength
	}
	return n
}

// combine returns the mean of the logarithms of the caller's estimate and the mean length, each
// weighted by how good it was.
func (x *lengths) combine(a Ask) float64 {
	weight := x.meanError / math.Max(x.meanError+x.hintError, minWeight)
	return math.Exp(weight*logLength(float64(a.OutputHint)) + (1-weight)*logLength(x.mean(a)))
}

// record records the length of the response to a.
func (x *lengths) record(a Ask, tokens identifier.Tokens) {
	if a.OutputHint > 0 {
		actual := logLength(float64(tokens))
		combined := x.combine(a)
		x.observed++
		gain := math.Max(1/(firstHints+x.observed), hintGain)
		x.actual += gain * (math.Min(float64(tokens), maxCorrection*combined) - x.actual)
		x.combined += gain * (combined - x.combined)
		x.hintError += gain * (square(actual-logLength(float64(a.OutputHint))) - x.hintError)
		x.meanError += gain * (square(actual-logLength(x.mean(a))) - x.meanError)
	}
	old := x.mean(a)
	x.means[lengthKeyOf(a)] = old + lengthGain*(float64(tokens)-old)
}

// logLength returns the logarithm of a length of at least one token.
func logLength(tokens float64) float64 {
	return math.Log(math.Max(tokens, 1))
}

func square(x float64) float64 {
	return x * x
}
