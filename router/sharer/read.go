package sharer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/platform/storer"
)

// answer is the answer of another instance, or the error instead of it.
type answer struct {
	source identifier.Instance
	sent   time.Time
	page   storer.Page
	err    error
}

// read reads from one source after another until one has answered, the store has failed, or
// none is left to try. A source that does not answer in time is not waited for before the next
// is asked, so that several silent ones together don't keep news back: the first answer counts.
func (s *Sharer) read(ctx context.Context, t *table, r *messenger.ReadRequest) (storer.Page, error) {
	// Each question sends one answer; nobody waits for those that come too late.
	answers := make(chan answer, maxQuestions)
	open := 0
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, followWait)
	for {
		source, ok := s.choose(t)
		if ok && source == "" {
			return s.readStore(ctx, t, r)
		}
		if !ok && open == 0 {
			return storer.Page{}, ErrNoSource
		}
		if ok {
			s.question(ctx, t, source, r, wait, answers)
			open++
		}
		a, answered := s.await(ctx, t, source, answers, wait, ok && open < maxQuestions)
		// A source that is asked because another is silent answers at once.
		wait = 0
		if ctx.Err() != nil {
			return storer.Page{}, ctx.Err()
		}
		if !answered {
			continue
		}
		open--
		page, err := s.accept(t, a.source, r, a)
		if err == nil || errors.Is(err, storer.ErrHistoryDropped) {
			return page, err
		}
		s.Log.WithError(err).WithField("peer", a.source).WithField("table", t.name).Debug("table not read from an instance")
	}
}

// maxQuestions is how many other instances are asked at once.
const maxQuestions = 8

// choose returns the source that is asked next; false if there is none now.
func (s *Sharer) choose(t *table) (identifier.Instance, bool) {
	readers := s.Publisher.View().Readers
	if t.maxAge <= 0 {
		readers = nil
	}
	return t.chooser.Choose(time.Now(), s.Self, readers)
}

// question asks another instance, which may hold the question for a wait.
func (s *Sharer) question(ctx context.Context, t *table, source identifier.Instance, r *messenger.ReadRequest, wait time.Duration, answers chan<- answer) {
	sent := time.Now()
	t.questions.Go(func() error {
		page, err := s.ask(ctx, sent, source, r, wait)
		answers <- answer{
			source: source,
			sent:   sent,
			page:   page,
			err:    err,
		}
		return nil
	})
}

// await returns the first answer to the questions that are open. It returns false if ctx has
// ended or if, with hedge set, the source that was asked last is late: that counts as silence.
func (s *Sharer) await(ctx context.Context, t *table, last identifier.Instance, answers <-chan answer, wait time.Duration, hedge bool) (answer, bool) {
	var late <-chan time.Time
	if hedge {
		timer := time.NewTimer(wait + hedgeDelay)
		defer timer.Stop()
		late = timer.C
	}
	select {
	case a := <-answers:
		return a, true
	case <-ctx.Done():
	case <-late:
		t.chooser.Silent(time.Now(), last)
	}
	return answer{}, false
}
