package proxier

import (
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/router/reporter"
)

// timing holds the times that a stream's caller observed.
type timing struct {
	startedAt time.Time
	// queued is the time spent waiting for chains, and firstEvent the time to the
	// first event.
	queued     time.Duration
	firstEvent time.Duration
	// lastEventAt is when the last event was forwarded, and longestPause the longest
	// pause between two events.
	lastEventAt  time.Time
	longestPause time.Duration
}

// recordEvent records that an event was forwarded at now.
func (t *timing) recordEvent(now time.Time) {
	if t.lastEventAt.IsZero() {
		t.firstEvent = now.Sub(t.startedAt)
	} else {
		t.longestPause = max(t.longestPause, now.Sub(t.lastEventAt))
	}
	t.lastEventAt = now
}

// logServed logs a stream that was delivered completely.
func (s *stream) logServed() {
	route := s.job.Route
	log := s.proxier.log(s.job).WithFields(logrus.Fields{
		"queued-ms":  s.timing.queued.Milliseconds(),
		"first-ms":   s.timing.firstEvent.Milliseconds(),
		"longest-ms": s.timing.longestPause.Milliseconds(),
		"tries":      s.chainsRequested.Load(),
		"events":     s.forwarded,
		"status":     s.status,
		"ended-by":   s.framing,
		"chain":      formatChain(s.chain),
	})
	s.proxier.Reporter.RecordStream(s.job.Service, reporter.StreamTimings{
		Queued:       s.timing.queued,
		FirstEvent:   s.timing.firstEvent,
		LongestPause: s.timing.longestPause,
	})
	outcome := s.outcome(route)
	log = log.WithFields(s.proxier.recordEnd(&s.job, outcome))
	if outcome == reporter.OnTime {
		log.Info("request served")
		return
	}
	log.WithField("target-ms", route.Target.Milliseconds()).WithField("longest-pause-ms", route.Gap.Milliseconds()).Warn("request served late")
}
