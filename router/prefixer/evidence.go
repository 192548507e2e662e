package prefixer

import (
	"math"
	"time"
)

const (
	// minSavedShare is the share of the predicted time that a request must save to be
	// evidence. The others, that save less, show neither one thing nor the other.
	minSavedShare = 0.1
	// minControls is how many requests that save nothing must have been observed before the
	// others can be compared with them.
	minControls = 8
	// controlGain is the smoothing factor of the ratio of observed to predicted times.
	controlGain = 0.05
	// maxRatio limits the ratio that one request shows.
	maxRatio = 10.0
	// evidenceDecay is the factor by which earlier evidence loses weight with each
	// observation.
	evidenceDecay = 0.97
	// priorWeight is the weight of the assumption that beginnings are kept, before the first
	// observation. It decays as observations do.
	priorWeight = 2.0
	// minKept and maxKept limit the fraction that one request shows. Its time may also differ
	// from the predicted one for other reasons.
	minKept = -3.0
	maxKept = 4.0
	// nothingKept is the fraction below which engines are taken to keep nothing, and
	// somethingKept the one above which they are taken to keep beginnings again.
	nothingKept   = 0.2
	somethingKept = 0.4
	// maxFirstEvent is the longest plausible time to a first event.
	maxFirstEvent = time.Hour
)

// Observation is what a stream shows.
type Observation struct {
	// Predicted is the time from the request until the first event if no beginning is held.
	Predicted time.Duration
	// Saved is the part of it that is saved if the beginning is held.
	Saved time.Duration
	// FirstEvent is the observed time; 0 if there was no event.
	FirstEvent time.Duration
}

// Evidence learns which fraction of the expected savings the engines of one service show. The
// zero value has no evidence and assumes that beginnings are kept.
type Evidence struct {
	// controls is the number of requests that save nothing, and ratio that of their observed
	// to their predicted times.
	controls int
	ratio    float64
	// weight and sum are those of the fractions that were observed.
	weight float64
	sum    float64
	// nothing is set while the engines are taken to keep nothing.
	nothing bool
}

// Observe adds an observation. One without an event, or with times that can't be true, is
// ignored.
func (e *Evidence) Observe(o Observation) {
	if o.FirstEvent <= 0 || o.FirstEvent > maxFirstEvent || o.Predicted <= 0 {
		return
	}
	predicted, observed := o.Predicted.Seconds(), o.FirstEvent.Seconds()
	if o.Saved <= 0 {
		e.observeControl(math.Min(observed/predicted, maxRatio))
		return
	}
	share := math.Min(o.Saved.Seconds()/predicted, 1)
	if share < minSavedShare || e.controls < minControls {
		return
	}
	// The variance of the fraction is in inverse proportion to the square of the share.
	weight := share * share
	if e.weight == 0 {
		e.weight, e.sum = priorWeight, priorWeight
	}
	kept := (1 - observed/(e.ratio*predicted)) / share
	e.weight = evidenceDecay*e.weight + weight
	e.sum = evidenceDecay*e.sum + weight*math.Max(minKept, math.Min(kept, maxKept))
	switch mean := e.mean(); {
	case mean < nothingKept:
		e.nothing = true
	case mean > somethingKept:
		e.nothing = false
	}
}

func (e *Evidence) observeControl(ratio float64) {
	e.controls++
	gain := math.Max(controlGain, 1/float64(e.controls))
	e.ratio += gain * (ratio - e.ratio)
}

// mean returns the mean fraction of the expected savings that was observed.
func (e *Evidence) mean() float64 {
	if e.weight == 0 {
		return 1
	}
	return e.sum / e.weight
}

// Kept returns the fraction of the expected savings to count on, of at most 1; 0 if the engines
// are taken to keep nothing.
func (e *Evidence) Kept() float64 {
	if e.nothing {
		return 0
	}
	return math.Max(0, math.Min(e.mean(), 1))
}
