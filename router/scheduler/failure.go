package scheduler

import (
	"time"

	"heatherhold.dev/core/identifier"
)

const (
	// failedPause is how long an endpoint that broke a stream gets no work; it
	// doubles with each failure in a row, up to failedLimit.
	failedPause = time.Second
	failedLimit = time.Minute
	// maxDoublings bounds how often the pause of a failing endpoint doubles.
	maxDoublings = 6
	// trialTime is how long the stream that tries an endpoint again must last for
	// others to follow.
	trialTime = 400 * time.Millisecond
)

// failure is what is held against an endpoint that broke a stream. After a pause
// one stream tries it; others follow once that has gone well for a while.
type failure struct {
	inRow int
	until time.Time
	trial identifier.Request
	tried time.Time
}

// open returns how many of an endpoint's slots may be used.
func (f failure) open(now time.Time, slots int) int {
	switch {
	case now.Before(f.until):
		return 0
	case f.trial == "":
		return 1
	case now.Before(f.tried.Add(trialTime)):
		return 0
	}
	return slots
}

// try makes a stream that starts the trial of an endpoint that has failed, if
// it waits for one.
func (p *Pool) try(now time.Time, l identifier.Life, r identifier.Request) bool {
	f, ok := p.failed[l]
	if !ok || f.trial != "" || now.Before(f.until) {
		return false
	}
	f.trial = r
	f.tried = now
	p.failed[l] = f
	return true
}

// judge keeps work from the endpoint that broke a stream, for longer each time,
// and clears the others that took part in a stream that did not break.
func (p *Pool) judge(now time.Time, f *flight, o Outcome) {
	if o.Failed.Endpoint != "" {
		p.fail(now, o.Failed)
	}
	for _, s := range f.chain {
		old, ok := p.failed[s.Life]
		switch {
		case !ok || s.Life == o.Failed:
		case o.Failed.Endpoint == "" && o.Tokens > 0:
			delete(p.failed, s.Life)
		case old.trial == f.ask.Request && now.Before(old.tried.Add(trialTime)):
			// The trial ended for another reason and showed nothing.
			old.trial = ""
			p.failed[s.Life] = old
		}
	}
}

// fail notes that an endpoint broke a stream. One fault breaks many streams; it
// counts once.
func (p *Pool) fail(now time.Time, l identifier.Life) {
	old := p.failed[l]
	if now.Before(old.until) {
		return
	}
	p.failed[l] = failure{
		inRow: old.inRow + 1,
		until: now.Add(min(failedPause<<min(old.inRow, maxDoublings), failedLimit)),
	}
}
