package relayer

import (
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/router/reporter"
)

// timing is what a stream's caller saw.
type timing struct {
	begun time.Time
	// queued is the time spent waiting for chains, and first the time to the
	// first event.
	queued time.Duration
	first  time.Duration
	// latest is when the last event was passed on, and longest the longest
	// pause between two events.
	latest  time.Time
	longest time.Duration
}

// note counts an event.
func (t *timing) note(now time.Time) {
	if t.latest.IsZero() {
		t.first = now.Sub(t.begun)
	} else {
		t.longest = max(t.longest, now.Sub(t.latest))
	}
	t.latest = now
}

// report logs a stream that was whole.
func (s *stream) report() {
	route := s.job.Route
	log := s.relayer.log(s.job).WithFields(logrus.Fields{
		"queued-ms":  s.timing.queued.Milliseconds(),
		"first-ms":   s.timing.first.Milliseconds(),
		"longest-ms": s.timing.longest.Milliseconds(),
		"tries":      s.tries.Load(),
		"events":     s.passed,
		"status":     s.status,
		"chain":      describe(s.chain),
	})
	s.relayer.Reporter.Timed(s.job.Service, reporter.Stream{
		Queued:  s.timing.queued,
		First:   s.timing.first,
		Longest: s.timing.longest,
	})
	if !s.late() {
		log.Info("request served")
		return
	}
	log.WithField("target-ms", route.Target.Milliseconds()).WithField("longest-pause-ms", route.Gap.Milliseconds()).Warn("request served late")
}
