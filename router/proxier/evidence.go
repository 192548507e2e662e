package proxier

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/quarantiner"
)

// verdictDelay is how long a request that may have crashed its endpoint waits before it
// is sent again: until the crash counts, and what others observed has arrived.
const verdictDelay = quarantiner.SettleTime + 200*time.Millisecond

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

// trusted reports whether the stream goes on without a verdict: it has forwarded events, and one
// crash at most may be due to it, before which nothing was suspected. Nearly all such streams
// are sound, and their callers bear only short pauses.
func (s *stream) trusted() bool {
	return s.resumed() && s.crashes.Load() <= 1 && !s.suspect.Load()
}

// admit returns the permission to send the request.
func (s *stream) admit(ctx context.Context) (*quarantiner.Pass, error) {
	keys := s.keys
	if s.trusted() {
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
		ticket, err := s.acquireResponsive(ctx, pass)
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

// acquireResponsive acquires a chain for a request with a pass. If an endpoint has crashed under
// the request, those of the chain must answer first: a crash that happened before it was
// sent would count against it.
func (s *stream) acquireResponsive(ctx context.Context, pass *quarantiner.Pass) (*acquirer.Ticket, error) {
	for {
		ticket, err := s.acquireApart(ctx, pass)
		if err != nil || !pass.Alone() {
			return ticket, err
		}
		ended, ok := s.proxier.endedStage(ctx, ticket.Chain)
		if !ok {
			return ticket, nil
		}
		s.addAvoided(ended)
		ticket.Release(acquirer.Outcome{Failed: ended})
		if s.chainsRequested.Load() >= maxChains {
			return nil, errors.Wrapf(exchanger.ErrNotSent, "endpoint %s does not answer", ended.Endpoint)
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
	switch r.Scope {
	case quarantiner.WholeRequest:
		what = "the same request, " + r.Name
	case quarantiner.SharedPath:
		what = "the caller's requests to the same path, " + r.Name
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
// parts of its prompt. If an endpoint crashed, each of them may be the cause, however far the
// answer had got, unless the attempt was proven.
func (s *stream) recordEvidence(ctx context.Context, a *attempt, err error) finding {
	x := s.proxier
	out := finding{
		progress: a.progress(),
		state:    endpointsNotAsked,
		charge:   chargeNothing,
	}
	if err == nil {
		x.Quarantiner.RecordAnswer(time.Now(), s.keys)
		return out
	}
	first := a.chain()[0]
	if a.proven() {
		x.checkLater(err, first.EndpointIncarnation, first.Address, nil)
		return out
	}
	var silent *stageError
	if errors.As(err, &silent) {
		return s.recordSilence(ctx, a, silent)
	}
	stages := a.crashCandidates(err)
	if len(stages) == 0 {
		return out
	}
	failed, crashed := x.crashed(ctx, stages, a.sentAt)
	out.state = endpointStateOf(crashed)
	if !crashed || ctx.Err() != nil {
		if x.checkLater(err, first.EndpointIncarnation, first.Address, s.keys) {
			out.charge = chargeLater
			a.pass.Leave()
		}
		return out
	}
	out.charge = chargeRequest
	x.recordCrash(failed, s.keys, chargeRequest)
	return out
}

// crashCandidates returns the stages of the attempt's chain of which one may have crashed under it: all
// if the connection was lost, and that which another stage names if the request was refused
// for it.
func (a *attempt) crashCandidates(err error) []identifier.Stage {
	chain := a.chain()
	switch {
	case errors.Is(err, exchanger.ErrLost):
		return chain
	case errors.Is(err, errNotRun) && a.failed != chain[0].EndpointIncarnation:
		return stagesOf(chain, a.failed)
	}
	return nil
}

// recordCrash records the crash of an endpoint under keys, which may be none.
func (x *Proxier) recordCrash(incarnation identifier.EndpointIncarnation, keys []quarantiner.Key, c charge) {
	now := time.Now()
	x.tally.add(now, incarnation, c)
	x.Quarantiner.RecordCrash(now, incarnation, keys)
}

// recordSilence records that an endpoint that is silent may have crashed under a stream that is
// not proven. If nothing listens any more at its address, it has, and the request may be the
// cause; otherwise the parts of a prompt whose answer had not begun may be.
func (s *stream) recordSilence(ctx context.Context, a *attempt, cause *stageError) finding {
	out := finding{
		progress: a.progress(),
		state:    endpointsNotAsked,
		charge:   chargeNothing,
	}
	if a.proven() || cause.detail != reasonUnresponsive {
		return out
	}
	out.state = endpointSilent
	if s.recordEnd(ctx, cause.incarnation, addressOf(a.chain(), cause.incarnation)) {
		out.state = endpointEnded
		out.charge = chargeRequest
		return out
	}
	if parts := partKeysOf(s.job); len(parts) > 0 && !s.resumed() && out.progress == answerHeader {
		out.charge = chargeParts
		s.proxier.recordCrash(cause.incarnation, parts, chargeParts)
	}
	return out
}

// recordEnd records the crash of an endpoint under the request if nothing listens any more at its
// address, and reports whether it did.
func (s *stream) recordEnd(ctx context.Context, incarnation identifier.EndpointIncarnation, address string) bool {
	ended := s.proxier.hasEnded(ctx, incarnation, address)
	if ended {
		s.proxier.recordCrash(incarnation, s.keys, chargeRequest)
	}
	return ended
}

// resumed reports whether the caller has received events.
func (s *stream) resumed() bool {
	return s.lastEvent.Load() > s.job.Request.LastEvent
}

// crashed returns which of the stages ended under a run that was sent at the given time, and whether
// one did. A lost connection or a refusal alone does not show that: the endpoints are asked for a
// report, unless the caller's time is over or the caller left, which ends the connection as well.
func (x *Proxier) crashed(ctx context.Context, stages []identifier.Stage, sentAt time.Time) (identifier.EndpointIncarnation, bool) {
	if ctx.Err() != nil {
		return identifier.EndpointIncarnation{}, false
	}
	ended, ok := x.endedStage(ctx, stages)
	if at, known := x.Quarantiner.CrashedAt(ended); known && at.Before(sentAt) {
		return identifier.EndpointIncarnation{}, false
	}
	return ended, ok
}

// endedStage returns the first of the stages that answers no question, and whether there is one.
func (x *Proxier) endedStage(ctx context.Context, stages []identifier.Stage) (identifier.EndpointIncarnation, bool) {
	since := time.Now()
	for _, s := range stages {
		ended := x.reports.crashed(s.EndpointIncarnation, since, func() bool {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
			defer cancel()
			_, err := x.Orderer.Report(ctx, s.Address)
			return err != nil
		})
		if ended {
			return s.EndpointIncarnation, true
		}
	}
	return identifier.EndpointIncarnation{}, false
}

// dialTimeout limits the wait for a connection to an endpoint that may have ended.
const dialTimeout = 100 * time.Millisecond

// hasEnded reports whether nothing listens any more at the address of an endpoint.
func (x *Proxier) hasEnded(ctx context.Context, incarnation identifier.EndpointIncarnation, address string) bool {
	return x.ends.crashed(incarnation, time.Now(), func() bool { return x.refuses(ctx, address) })
}

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
	if run.proving.proven.Load() {
		x.checkLater(run.err, e.EndpointIncarnation, e.Address, nil)
		return
	}
	crashed := x.reports.crashed(e.EndpointIncarnation, time.Now(), func() bool { return x.dial(ctx, e.Address) != nil })
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

// addressOf returns the address of an endpoint incarnation in a chain.
func addressOf(chain []identifier.Stage, incarnation identifier.EndpointIncarnation) string {
	if stages := stagesOf(chain, incarnation); len(stages) > 0 {
		return stages[0].Address
	}
	return chain[0].Address
}

// stagesOf returns the stages of a chain at an endpoint incarnation.
func stagesOf(chain []identifier.Stage, incarnation identifier.EndpointIncarnation) []identifier.Stage {
	return slices.DeleteFunc(slices.Clone(chain), func(s identifier.Stage) bool { return s.EndpointIncarnation != incarnation })
}

// awaitVerdict waits, if the request may have crashed its endpoint, until the verdict on
// its parts can be known.
func (s *stream) awaitVerdict(ctx context.Context) {
	if !s.finding.crashed() || len(s.job.Request.Parts) == 0 || s.trusted() {
		return
	}
	sleep(ctx, verdictDelay)
}
