package scheduler

import (
	"time"

	"heatherhold.dev/core/identifier"
)

const (
	// basePause is how long an endpoint gets no work after it broke a stream. The
	// pause doubles with each consecutive failure, up to maxPause.
	basePause = time.Second
	maxPause  = time.Minute
	// maxDoublings bounds the number of times that the pause doubles.
	maxDoublings = 6
	// probeTime is how long a probe stream must run on an endpoint before the
	// endpoint gets other streams again.
	probeTime = 400 * time.Millisecond
)

// failure is the failure state of an endpoint; the zero value is that of an endpoint
// that broke no stream. After a pause the endpoint gets one stream as a probe, and other streams once the probe has
// run for probeTime.
type failure struct {
	consecutive  int
	pausedUntil  time.Time
	probe        identifier.Request
	probeStarted time.Time
}

// failed reports whether the endpoint broke a stream and has delivered none since.
func (f *failure) failed() bool {
	return f.consecutive > 0
}

// paused reports whether an endpoint gets no work but a probe.
func (f *failure) paused(now time.Time) bool {
	return f.failed() && (f.probe == "" || now.Before(f.probeStarted.Add(probeTime)))
}

// usableSlots returns how many of an endpoint's slots may be used.
func (f *failure) usableSlots(now time.Time, slots int) int {
	switch {
	case now.Before(f.pausedUntil):
		return 0
	case f.probe == "":
		return 1
	case now.Before(f.probeStarted.Add(probeTime)):
		return 0
	}
	return slots
}

// startProbe makes r, whose stream starts on an endpoint that has failed, the
// probe of the endpoint. It reports false if the endpoint has not failed, is still
// paused or already has a probe.
func (p *Pool) startProbe(now time.Time, incarnation identifier.EndpointIncarnation, r identifier.Request) bool {
	f := &p.state(incarnation).failure
	if !f.failed() || f.probe != "" || now.Before(f.pausedUntil) {
		return false
	}
	f.probe = r
	f.probeStarted = now
	return true
}

// recordOutcome pauses the endpoint that broke a stream, for longer with each
// consecutive failure. If no endpoint broke the stream and it delivered tokens, it
// clears the failures of the endpoints in the chain.
func (p *Pool) recordOutcome(now time.Time, active *activeRequest, o Outcome) {
	if o.Failed.Endpoint != "" {
		p.recordFailure(now, o.Failed)
	}
	for _, s := range active.chain {
		f := &p.state(s.EndpointIncarnation).failure
		switch {
		case !f.failed() || s.EndpointIncarnation == o.Failed:
		case o.Failed.Endpoint == "" && o.Tokens > 0:
			*f = failure{}
		case f.probe == active.ask.Request && now.Before(f.probeStarted.Add(probeTime)):
			// The probe ended early for another reason and is inconclusive.
			f.probe = ""
		}
		p.forget(s.EndpointIncarnation)
	}
}

// recordFailure records that an endpoint broke a stream, and pauses it. One fault
// may break many streams at once and counts once: failures during a pause are
// ignored.
func (p *Pool) recordFailure(now time.Time, incarnation identifier.EndpointIncarnation) {
	f := &p.state(incarnation).failure
	if now.Before(f.pausedUntil) {
		return
	}
	*f = failure{
		consecutive: f.consecutive + 1,
		pausedUntil: now.Add(min(basePause<<min(f.consecutive, maxDoublings), maxPause)),
	}
}

// Failed returns the listed endpoints that broke a stream and have delivered none since.
func (p *Pool) Failed() map[identifier.EndpointIncarnation]bool {
	out := make(map[identifier.EndpointIncarnation]bool)
	for incarnation, s := range p.states {
		if s.listed && s.failure.failed() {
			out[incarnation] = true
		}
	}
	return out
}
