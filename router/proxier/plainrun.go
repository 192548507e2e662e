package proxier

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/courier"
	"heatherhold.dev/router/balancer"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/quarantiner"
)

// plainRun is one run of a plain request at an endpoint.
type plainRun struct {
	endpoint cataloguer.Endpoint
	pass     *quarantiner.Pass
	// again is set if the request was sent to the endpoint's address before.
	again bool
	// ran is set once the endpoint may have run the request, and cut if the run ended
	// because the request did.
	ran, cut bool
	// suspect is set if the request was suspected when it was sent.
	suspect bool
	// streamed is set if the answer is a series of events, which were passed on as they arrived.
	streamed bool
	proving  proving
	response *completeResponse
	err      error
	finding  finding
}

// plainRuns are the runs of a plain request, of which the first answer is passed on.
type plainRuns struct {
	request *plainRequest
	ctx     context.Context
	cancel  context.CancelFunc
	group   errgroup.Group
	ended   chan *plainRun
	running int
}

func newPlainRuns(ctx context.Context, p *plainRequest) *plainRuns {
	ctx, cancel := context.WithCancel(ctx)
	return &plainRuns{
		request: p,
		ctx:     ctx,
		cancel:  cancel,
		ended:   make(chan *plainRun),
	}
}

// stop ends the runs that are left.
func (r *plainRuns) stop() {
	r.cancel()
	for ; r.running > 0; r.running-- {
		(<-r.ended).response.release()
	}
	// The errors of the runs are in their results.
	_ = r.group.Wait()
}

// start starts a run at an endpoint, for which it may wait.
func (r *plainRuns) start(ctx context.Context) error {
	pass, e, err := r.request.choose(ctx)
	if err != nil {
		return err
	}
	r.run(pass, e)
	return nil
}

// run starts a run.
func (r *plainRuns) run(pass *quarantiner.Pass, e cataloguer.Endpoint) {
	p := r.request
	p.avoid = append(p.avoid, e.EndpointIncarnation)
	run := &plainRun{
		endpoint: e,
		pass:     pass,
		again:    p.sent.add(e.Address),
		finding:  finding{progress: answerNone},
	}
	r.running++
	r.group.Go(func() error {
		p.execute(r.ctx, run)
		r.ended <- run
		return nil
	})
}

// attemptFraction is the fraction of the remaining time after which a request that may run
// again is sent to another endpoint beside the one that has not answered.
const attemptFraction = 0.4

// await returns the next run that ends. Meanwhile it starts another one if the request takes
// long, unless that may not be or there is no endpoint or retry for it. The one that runs goes
// on: it may be about to answer. A stream has one run at a time: its events are passed on as they
// arrive.
func (r *plainRuns) await() *plainRun {
	p := r.request
	for {
		var slow <-chan time.Time
		if !p.job.Route.Streams && p.job.Route.Repetition.Repeatable() && p.runs+r.running < p.job.Route.Attempts {
			slow = time.After(time.Duration(attemptFraction * float64(time.Until(p.job.Deadline))))
		}
		select {
		case run := <-r.ended:
			r.running--
			p.count(run)
			return run
		case <-slow:
			r.startBeside()
		}
	}
}

// count counts a run that has ended.
func (p *plainRequest) count(run *plainRun) {
	if run.ran {
		p.ran = true
		p.runs++
	}
	if run.finding.crashed() {
		p.crashes++
		p.suspect = p.suspect || run.suspect
	}
}

// startBeside starts another run if that is possible at once.
func (r *plainRuns) startBeside() {
	p := r.request
	x := p.proxier
	now := time.Now()
	if x.budget(now, p.job.Service).Remaining() < 1 {
		return
	}
	pass, refusal := x.Quarantiner.Admit(now, p.keys)
	if refusal != nil {
		return
	}
	e, _, ok := x.Balancer.Pick(now, x.Publisher.View().Fleet[p.job.Service], x.DataCentre, p.avoid)
	if !ok {
		pass.End()
		return
	}
	if !x.spendRetry(p.job.Service) {
		x.Balancer.Done(now, e.EndpointIncarnation, balancer.Cancelled)
		pass.End()
		return
	}
	r.run(pass, e)
}

// execute executes a run and records what it shows of the endpoint and the request.
func (p *plainRequest) execute(ctx context.Context, run *plainRun) {
	run.response, run.err = p.send(ctx, run)
	run.cut = ctx.Err() != nil
	run.suspect = run.pass.Suspect()
	p.proxier.Balancer.Done(time.Now(), run.endpoint.EndpointIncarnation, outcome(ctx, run.response, run.err))
	p.recordEvidence(ctx, run)
	run.pass.End()
}

// send sends the request to the run's endpoint and reads the response.
func (p *plainRequest) send(ctx context.Context, run *plainRun) (*completeResponse, error) {
	x, j, e := p.proxier, p.job, run.endpoint
	sentAt := time.Now()
	run.pass.RecordSent(sentAt)
	response, err := x.Exchanger.Open(ctx, x.newRequest(j, e.Address, run.again, courier.RequestMetadata{
		Endpoint:  e.Endpoint,
		Customer:  j.Customer,
		Remaining: time.Until(j.Deadline),
		Order:     j.Order,
		LastEvent: p.resumeAfter(),
	}))
	if err != nil {
		run.ran = !errors.Is(err, exchanger.ErrNotSent)
		x.Exchanger.CloseIdle(e.Address)
		return nil, err
	}
	run.finding.progress = answerHeader
	info := x.Codec.ParseResponse(j.Request, response.Status, response.Header)
	p.recordLimit(sentAt, e, info)
	x.recordWishes(j, e.EndpointIncarnation, info)
	return p.read(response, info, run)
}

// read reads the whole response.
func (p *plainRequest) read(response *exchanger.Response, info courier.ResponseMetadata, run *plainRun) (*completeResponse, error) {
	if info.NotRun && !unidentified(response, info) {
		return nil, discardRefusal(response, info.IdleTimeout)
	}
	run.ran = true
	if unidentified(response, info) {
		response.Discard()
		return nil, errors.Wrapf(errUnidentified, "status %d", response.Status)
	}
	if unsigned(response.Status, info) {
		response.Discard()
		return nil, errors.Wrapf(errUnsigned, "status %d", response.Status)
	}
	if p.isStream(response) {
		return p.forward(response, info, run)
	}
	if p.job.Route.Streams && p.started {
		response.Discard()
		return nil, errors.Wrapf(errFailed, "status %d, content type %.40q for a resumed stream", response.Status, response.Header.Get("Content-Type"))
	}
	body := &body{proxier: p.proxier}
	if err := body.readAll(response); err != nil {
		response.Discard()
		body.release()
		return nil, errors.Wrap(exchanger.ErrLost, err.Error())
	}
	response.Close(info.IdleTimeout)
	out := &completeResponse{
		status:  response.Status,
		header:  response.Header,
		body:    body,
		info:    info,
		framing: response.Framing,
	}
	if response.Status >= http.StatusInternalServerError {
		return out, errors.Wrapf(errFailed, "status %d", response.Status)
	}
	return out, nil
}
