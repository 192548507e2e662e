package relayer

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/courier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/exchanger"
)

// attempt is the use of one chain.
type attempt struct {
	stream *stream
	first  int64
	begun  time.Time
	fault  identifier.Life
	answer *exchanger.Answer
	cancel context.CancelCauseFunc
	// latest is when the last event came; nil before the first.
	latest atomic.Pointer[time.Time]

	// held is the events without an id since the last that has one.
	held []byte
	// stray counts the bytes that came since the caller's last event.
	stray int

	// moving is set while the stream is moved to another chain.
	moving atomic.Bool
	mu     sync.Mutex
	ticket *acquirer.Ticket
	ended  bool
}

// stageError says which stage of a chain is at fault.
type stageError struct {
	life   identifier.Life
	detail string
}

// Error returns the stage and what is wrong with it.
func (e *stageError) Error() string {
	return e.life.String() + " " + e.detail
}

func (a *attempt) run(ctx context.Context) error {
	x := a.stream.relayer
	ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	x.enter(a)
	defer x.leave(a)
	err := a.open(ctx)
	if err == nil {
		err = a.pass()
	}
	var stage *stageError
	if cause := context.Cause(ctx); err != nil && errors.As(cause, &stage) {
		err = cause
	}
	if errors.As(err, &stage) {
		a.fault = stage.life
	}
	return err
}

// open sends the request to the chain's first stage and reads the answer's head.
func (a *attempt) open(ctx context.Context) error {
	s := a.stream
	chain := a.chain()
	send := courier.Send{
		Endpoint: chain[0].Endpoint,
		Customer: s.job.Customer,
		Left:     time.Until(s.job.Deadline),
		Order:    s.job.Order,
		After:    s.last.Load(),
	}
	if s.engine.Layers > 0 {
		send.Chain = chain
	}
	answer, err := s.relayer.Exchanger.Open(ctx, s.relayer.call(s.job, chain[0].Address, send))
	switch {
	case errors.Is(err, exchanger.ErrNotSent):
		s.relayer.Exchanger.Forget(chain[0].Address)
		return a.blame(err, chain[0].Life)
	case err != nil:
		s.ran = true
		s.runs++
		s.relayer.Exchanger.Forget(chain[0].Address)
		return a.blame(err, chain[0].Life)
	}
	a.answer = answer
	return a.judge()
}

// blame notes the stage at fault and returns err.
func (a *attempt) blame(err error, l identifier.Life) error {
	a.fault = l
	return err
}

// judge reads the head of the answer, and passes that of a stream on.
func (a *attempt) judge() error {
	s := a.stream
	said := s.relayer.Codec.Answer(s.job.Request, a.answer.Status, a.answer.Header)
	if said.NotRun {
		status := a.answer.Status
		a.answer.Discard()
		at := stageAt(a.chain(), said.AtFault)
		return a.blame(errors.Wrapf(errNotRun, "status %d, at fault %s", status, at.Endpoint), at.Life)
	}
	s.ran = true
	s.runs++
	if alien(a.answer.Status, said) {
		status := a.answer.Status
		a.answer.Discard()
		return a.blame(errors.Wrapf(errAlien, "status %d", status), a.chain()[0].Life)
	}
	if a.answer.Status >= http.StatusInternalServerError && (s.started || (s.job.Route.Repetition.Repeatable() && s.runs < s.job.Route.Attempts)) {
		status := a.answer.Status
		a.answer.Discard()
		return a.blame(errors.Wrapf(errFailed, "status %d", status), stageAt(a.chain(), said.AtFault).Life)
	}
	if a.answer.Status != http.StatusOK && s.started {
		status := a.answer.Status
		a.answer.Discard()
		return errors.Wrapf(errFailed, "status %d to a resumed stream", status)
	}
	if !s.started && a.answer.Status == http.StatusOK {
		s.begin(a.answer)
	}
	return nil
}

const (
	// strayLimit bounds the bytes of a stream that do not bring it further. A run
	// that begins anew repeats less.
	strayLimit = 1 << 20
	// heldLimit bounds those of them that are held, in events without an id.
	heldLimit = 64 << 10
)

// errStray says that a stream does not get further.
var errStray = errors.New("the stream brings too much that is no next event")

// pass passes the answer's events on, whole and in order.
func (a *attempt) pass() error {
	s := a.stream
	if a.answer.Status != http.StatusOK {
		return a.copy()
	}
	out := http.NewResponseController(s.w)
	events := &splitter{reader: bufio.NewReader(a.answer)}
	for {
		e, err := events.next()
		now := time.Now()
		a.latest.Store(&now)
		if errors.Is(err, io.EOF) {
			a.answer.Close(s.relayer.Codec.Answer(s.job.Request, a.answer.Status, a.answer.Header).Idle)
			return s.write(out, a.held)
		}
		if err == nil {
			err = a.admit(e)
		}
		if err != nil {
			a.answer.Discard()
			a.fault = a.chain()[0].Life
			return errors.Wrap(exchanger.ErrLost, err.Error())
		}
		if e.id == 0 {
			continue
		}
		if err := a.take(out, e); err != nil {
			a.answer.Discard()
			return err
		}
	}
}

// admit counts what an event brings, and keeps one without an id until the next
// that has one, or the end, shows that it is no noise.
func (a *attempt) admit(e event) error {
	a.stray += len(e.bytes)
	if e.id == 0 {
		a.held = append(a.held, e.bytes...)
	}
	if a.stray > strayLimit || len(a.held) > heldLimit {
		return errStray
	}
	return nil
}

// take passes an event that has an id on, unless the caller holds it.
func (a *attempt) take(out *http.ResponseController, e event) error {
	s := a.stream
	last := s.last.Load()
	if e.id > last+1 {
		return errors.Errorf("event %d follows event %d", e.id, last)
	}
	bytes := append(a.held, e.bytes...)
	a.held = bytes[:0]
	if e.id <= last {
		return nil
	}
	if err := s.write(out, bytes); err != nil {
		return err
	}
	a.stray = 0
	s.last.Store(e.id)
	s.passed++
	s.timing.note(time.Now())
	return nil
}

// copy passes an answer on that is no stream of events, once it is whole.
func (a *attempt) copy() error {
	b := &body{relayer: a.stream.relayer}
	defer b.drop()
	if err := b.fill(a.answer); err != nil {
		a.answer.Discard()
		return a.blame(errors.Wrap(exchanger.ErrLost, err.Error()), a.chain()[0].Life)
	}
	a.answer.Close(0)
	a.stream.begin(a.answer)
	_, err := b.WriteTo(a.stream.w)
	if err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	return nil
}

// outcome tells the owner how the chain was used.
func (a *attempt) outcome() acquirer.Outcome {
	events := a.stream.passed - a.first
	o := acquirer.Outcome{
		Tokens: identifier.Tokens(events * int64(a.stream.engine.Stride)),
		Failed: a.fault,
	}
	return o
}
