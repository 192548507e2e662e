package proxier

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/quarantiner"
)

// verdictDelay is how long a request that may have crashed its endpoint waits before it
// is sent again: until the crash counts, and what others observed has arrived.
const verdictDelay = quarantiner.SettleTime + 200*time.Millisecond

// unanswered reports whether the endpoint has begun to answer and has sent no event.
func (a *attempt) unanswered() bool {
	return a.answering.Load() && !a.progressed.Load()
}

// admit returns the permission to send the request. A stream that has forwarded events
// needs no verdict: the parts of its prompt crash no endpoint.
func (s *stream) admit() (*quarantiner.Pass, error) {
	parts := s.job.Request.Parts
	if s.resumed() {
		parts = nil
	}
	pass, refusal := s.proxier.Quarantiner.Admit(time.Now(), parts)
	if refusal != nil {
		return nil, quarantined(refusal)
	}
	return pass, nil
}

// quarantined returns the error for a request that is not sent.
func quarantined(r *quarantiner.Refusal) error {
	action := "are sent one at a time"
	if r.Condemned {
		action = "are refused"
	}
	return &classifier.Error{
		Kind:       classifier.Quarantined,
		Detail:     fmt.Sprintf("%d endpoints crashed as they began to answer requests with part %s of the prompt; such requests %s", r.Crashes, r.Part, action),
		RetryAfter: r.RetryAfter,
	}
}

func isQuarantined(err error) bool {
	var e *classifier.Error
	return errors.As(err, &e) && e.Kind == classifier.Quarantined
}

// recordEvidence records what an attempt that ended with err says about the parts of the
// prompt. If the endpoint crashed before the first event, each of them may be the cause, and
// the result is true.
func (s *stream) recordEvidence(ctx context.Context, a *attempt, err error) bool {
	q := s.proxier.Quarantiner
	parts := s.job.Request.Parts
	if len(parts) == 0 {
		return false
	}
	if a.progressed.Load() && a.failed.Endpoint == "" {
		q.RecordAnswer(time.Now(), parts)
		return false
	}
	if s.resumed() || !a.unanswered() || ctx.Err() != nil || !s.proxier.crashed(ctx, a, err) {
		return false
	}
	q.RecordCrash(time.Now(), a.failed, parts)
	return true
}

// recordSilence records that an endpoint may have crashed under a request that it had begun to
// answer. If it has not, the answer shows it. The result is false if the endpoint was not at
// the request's first event.
func (s *stream) recordSilence(a *attempt, cause *stageError) bool {
	parts := s.job.Request.Parts
	if len(parts) == 0 || s.resumed() || !a.unanswered() || cause.detail != reasonUnresponsive {
		return false
	}
	s.proxier.Quarantiner.RecordCrash(time.Now(), cause.incarnation, parts)
	return true
}

// resumed reports whether the caller has received events.
func (s *stream) resumed() bool {
	return s.lastEvent.Load() > s.job.Request.LastEvent
}

// crashed reports whether the attempt failed because its endpoint ended. A lost
// connection alone does not show that: the endpoint is asked for a report.
func (x *Proxier) crashed(ctx context.Context, a *attempt, err error) bool {
	var stage *stageError
	if errors.As(err, &stage) {
		return stage.detail == reasonUnresponsive
	}
	if !errors.Is(err, exchanger.ErrLost) {
		return false
	}
	return x.reports.crashed(a.failed, func() bool {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		_, err := x.Orderer.Report(ctx, addressOf(a.chain(), a.failed))
		return err != nil
	})
}

// crashReports remembers for a short time which endpoints were asked whether they
// crashed, since a crash ends many streams at once.
type crashReports struct {
	group singleflight.Group

	mu      sync.Mutex
	results map[identifier.EndpointIncarnation]crashReport
}

// crashReport is the result of asking an endpoint.
type crashReport struct {
	at      time.Time
	crashed bool
}

// reportRetention is how long the result of asking an endpoint is used.
const reportRetention = time.Second

// crashed returns the recent result for an endpoint, or that of ask.
func (c *crashReports) crashed(incarnation identifier.EndpointIncarnation, ask func() bool) bool {
	if r, ok := c.recent(incarnation); ok {
		return r.crashed
	}
	// The function returns no error.
	result, _, _ := c.group.Do(incarnation.String(), func() (any, error) {
		if r, ok := c.recent(incarnation); ok {
			return r.crashed, nil
		}
		crashed := ask()
		c.add(incarnation, crashed)
		return crashed, nil
	})
	return result.(bool)
}

func (c *crashReports) recent(incarnation identifier.EndpointIncarnation) (crashReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.results[incarnation]
	return r, ok && time.Since(r.at) < reportRetention
}

// add adds a result and drops those that are too old.
func (c *crashReports) add(incarnation identifier.EndpointIncarnation, crashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.results == nil {
		c.results = make(map[identifier.EndpointIncarnation]crashReport)
	}
	now := time.Now()
	maps.DeleteFunc(c.results, func(_ identifier.EndpointIncarnation, r crashReport) bool { return now.Sub(r.at) >= reportRetention })
	c.results[incarnation] = crashReport{
		at:      now,
		crashed: crashed,
	}
}

// addressOf returns the address of an endpoint incarnation in a chain.
func addressOf(chain []identifier.Stage, incarnation identifier.EndpointIncarnation) string {
	for _, s := range chain {
		if s.EndpointIncarnation == incarnation {
			return s.Address
		}
	}
	return chain[0].Address
}

// awaitVerdict waits, if the request may have crashed its endpoint, until the verdict on
// its parts can be known.
func (s *stream) awaitVerdict(ctx context.Context) {
	if !s.suspect {
		return
	}
	sleep(ctx, verdictDelay)
}
