package proxier

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/acquirer"
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

const (
	// maxHold limits how long a request is held that may soon be sent, and holdInterval is
	// how often it is looked at meanwhile.
	maxHold      = time.Second
	holdInterval = 20 * time.Millisecond
)

// admit returns the permission to send a request with the given keys. A request under which
// an endpoint crashed is held while another instance sends it.
func (x *Proxier) admit(ctx context.Context, deadline time.Time, keys []quarantiner.Key) (*quarantiner.Pass, error) {
	start := time.Now()
	longest := min(maxHold, time.Until(deadline)/2)
	for {
		now := time.Now()
		pass, refusal := x.Quarantiner.Admit(now, keys)
		if refusal == nil {
			return pass, nil
		}
		if refusal.Hold <= 0 || now.Sub(start) >= longest || ctx.Err() != nil {
			x.Quarantiner.Withdraw(keys)
			return nil, quarantined(refusal)
		}
		sleep(ctx, min(refusal.Hold, holdInterval))
	}
}

// admit returns the permission to send the request. A stream that has forwarded events needs
// no verdict: it crashes no endpoint.
func (s *stream) admit(ctx context.Context) (*quarantiner.Pass, error) {
	keys := s.keys
	if s.resumed() {
		keys = nil
	}
	return s.proxier.admit(ctx, s.job.Deadline, keys)
}

// acquire admits the request and acquires a chain for it. It is admitted anew if an endpoint
// crashed under the same request while it waited for the chain.
func (s *stream) acquire(ctx context.Context) (*quarantiner.Pass, *acquirer.Ticket, error) {
	for {
		pass, err := s.admit(ctx)
		if err != nil {
			return nil, nil, err
		}
		ticket, err := s.acquireTicket(ctx)
		if err != nil {
			pass.End()
			return nil, nil, err
		}
		refusal := pass.Check(time.Now())
		if refusal == nil {
			return pass, ticket, nil
		}
		ticket.Release(acquirer.Outcome{})
		pass.End()
		if refusal.Hold <= 0 {
			return nil, nil, quarantined(refusal)
		}
	}
}

// quarantined returns the error for a request that is not sent.
func quarantined(r *quarantiner.Refusal) error {
	action := "are sent one at a time"
	if r.Condemned {
		action = "are refused"
	}
	what := "requests with part " + r.Name + " of the prompt"
	if r.Scope == quarantiner.WholeRequest {
		what = "the same request, " + r.Name
	}
	return &classifier.Error{
		Kind:       classifier.Quarantined,
		Detail:     fmt.Sprintf("%d endpoints crashed as they began to answer %s; such requests %s", r.Crashes, what, action),
		RetryAfter: r.RetryAfter,
	}
}

func isQuarantined(err error) bool {
	var e *classifier.Error
	return errors.As(err, &e) && e.Kind == classifier.Quarantined
}

// recordEvidence records what an attempt that ended with err says about the request and the
// parts of its prompt. If an endpoint crashed before the first event, each of them may be the
// cause.
func (s *stream) recordEvidence(ctx context.Context, a *attempt, err error) finding {
	x := s.proxier
	out := finding{
		progress: a.progress(),
		state:    endpointsNotAsked,
		charge:   chargeNothing,
	}
	if a.progressed.Load() && a.failed.Endpoint == "" {
		x.Quarantiner.RecordAnswer(time.Now(), s.keys)
		return out
	}
	first := a.chain()[0]
	if s.resumed() || !a.unanswered() {
		x.checkLater(err, first.EndpointIncarnation, first.Address, nil)
		return out
	}
	failed, crashed := x.crashed(ctx, a, err)
	out.state = endpointStateOf(crashed)
	if !crashed || ctx.Err() != nil {
		if x.checkLater(err, first.EndpointIncarnation, first.Address, s.keys) {
			out.charge = chargeLater
			a.pass.Leave()
		}
		return out
	}
	keys := s.keys
	out.charge = chargeRequest
	if !errors.Is(err, exchanger.ErrLost) && !x.refuses(ctx, addressOf(a.chain(), failed)) {
		keys = keys[1:]
		out.charge = chargeParts
	}
	x.recordCrash(failed, keys, out.charge)
	return out
}

// recordCrash records the crash of an endpoint under keys, which may be none.
func (x *Proxier) recordCrash(incarnation identifier.EndpointIncarnation, keys []quarantiner.Key, c charge) {
	now := time.Now()
	x.tally.add(now, incarnation, c)
	x.Quarantiner.RecordCrash(now, incarnation, keys)
}

// recordSilence records that an endpoint may have crashed under the parts of a prompt that it
// had begun to answer. If it has not, the answer shows it. The result is false if the endpoint
// was not at the request's first event.
func (s *stream) recordSilence(a *attempt, cause *stageError) bool {
	if len(s.job.Request.Parts) == 0 || s.resumed() || !a.unanswered() || cause.detail != reasonUnresponsive {
		return false
	}
	s.proxier.recordCrash(cause.incarnation, s.keys[1:], chargeParts)
	return true
}

// resumed reports whether the caller has received events.
func (s *stream) resumed() bool {
	return s.lastEvent.Load() > s.job.Request.LastEvent
}

// recordProgress records the first event of an attempt: the request crashed no endpoint.
func (s *stream) recordProgress() {
	s.proxier.Quarantiner.RecordAnswer(time.Now(), s.keys[:1])
}

// crashed returns the endpoint of the attempt's chain that ended, and whether there is one. A
// lost connection alone does not show that: the endpoints are asked for a report, unless the
// caller's time is over or the caller left, which ends the connection as well.
func (x *Proxier) crashed(ctx context.Context, a *attempt, err error) (identifier.EndpointIncarnation, bool) {
	var stage *stageError
	if errors.As(err, &stage) {
		return stage.incarnation, stage.detail == reasonUnresponsive
	}
	if !errors.Is(err, exchanger.ErrLost) {
		return identifier.EndpointIncarnation{}, false
	}
	if ctx.Err() != nil {
		return identifier.EndpointIncarnation{}, false
	}
	for _, s := range a.chain() {
		crashed := x.reports.crashed(s.EndpointIncarnation, func() bool {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
			defer cancel()
			_, err := x.Orderer.Report(ctx, s.Address)
			return err != nil
		})
		if crashed {
			return s.EndpointIncarnation, true
		}
	}
	return identifier.EndpointIncarnation{}, false
}

// dialTimeout limits the wait for a connection to an endpoint that may have ended.
const dialTimeout = 100 * time.Millisecond

// refuses reports whether nothing listens at an address any more.
func (x *Proxier) refuses(ctx context.Context, address string) bool {
	return errors.Is(x.dial(ctx, address), syscall.ECONNREFUSED)
}

// dial tries to connect to an endpoint, whatever has become of the request.
func (x *Proxier) dial(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	defer cancel()
	return x.Exchanger.Probe(ctx, address)
}

// recordEvidence records what a run that ended says about the request. An endpoint that
// takes no connection after it lost one has ended.
func (p *plainRequest) recordEvidence(ctx context.Context, run *plainRun) {
	x, e := p.proxier, run.endpoint
	run.finding.state = endpointsNotAsked
	run.finding.charge = chargeNothing
	if run.err == nil {
		x.Quarantiner.RecordAnswer(time.Now(), p.keys)
		return
	}
	if run.cut || !errors.Is(run.err, exchanger.ErrLost) {
		return
	}
	crashed := x.reports.crashed(e.EndpointIncarnation, func() bool { return x.dial(ctx, e.Address) != nil })
	run.finding.state = endpointStateOf(crashed)
	if crashed {
		run.finding.charge = chargeRequest
		x.recordCrash(e.EndpointIncarnation, p.keys, chargeRequest)
		return
	}
	if x.checkLater(run.err, e.EndpointIncarnation, e.Address, p.keys) {
		run.finding.charge = chargeLater
		run.pass.Leave()
	}
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

const (
	// reportRetention is how long the result is used that an endpoint crashed, and
	// soundRetention that it did not: it may at any time.
	reportRetention = time.Second
	soundRetention  = 100 * time.Millisecond
)

// fresh reports whether the result is still used.
func (r crashReport) fresh(now time.Time) bool {
	if r.crashed {
		return now.Sub(r.at) < reportRetention
	}
	return now.Sub(r.at) < soundRetention
}

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
	return r, ok && r.fresh(time.Now())
}

// add adds a result and drops those that are too old.
func (c *crashReports) add(incarnation identifier.EndpointIncarnation, crashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.results == nil {
		c.results = make(map[identifier.EndpointIncarnation]crashReport)
	}
	now := time.Now()
	maps.DeleteFunc(c.results, func(_ identifier.EndpointIncarnation, r crashReport) bool { return !r.fresh(now) })
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
	if len(s.job.Request.Parts) == 0 || !s.finding.crashed() {
		return
	}
	sleep(ctx, verdictDelay)
}
