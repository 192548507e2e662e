package controller

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/committer"
	"heatherhold.dev/router/keeper"
	"heatherhold.dev/router/looper"
	"heatherhold.dev/router/spreader"
)

// Conflict is one section that both sides of a race would change.
type Conflict struct {
	Key    declarer.Key `json:"key"`
	Theirs string       `json:"theirs"`
	Yours  string       `json:"yours"`
}

// ConflictError says that the base revision of a change is no longer the latest.
type ConflictError struct {
	Latest    identifier.Revision
	Conflicts []Conflict
}

// Error returns the conflict in one line.
func (e *ConflictError) Error() string {
	return "the configuration has changed since the base revision"
}

// configuration is one revision's sections.
type configuration struct {
	revision identifier.Revision
	document declarer.Document
}

// Configuration returns the revision in force and its sections.
func (c *Controller) Configuration(ctx context.Context) (identifier.Revision, declarer.Document, error) {
	got, err := looper.Get(ctx, c.Loop, func() configuration {
		return configuration{
			revision: c.state.Revision(),
			document: c.state.Document(),
		}
	})
	return got.revision, got.document, err
}

// snapshotEvery is how many revisions lie between two snapshots.
const snapshotEvery = 64

// Change commits a change on a base revision under the change's own id. The
// same call may be repeated after an error: it takes effect once.
func (c *Controller) Change(ctx context.Context, base identifier.Revision, id string, change declarer.Change) (identifier.Revision, error) {
	if err := c.catchUp(ctx); err != nil {
		return 0, classifier.Wrap(classifier.PlatformDown, err, "the table service gave no answer; nothing was changed")
	}
	r, d, err := c.Configuration(ctx)
	if err != nil {
		return 0, err
	}
	if done, ok, err := c.repeated(ctx, base, id); ok || err != nil {
		return done, err
	}
	if r != base {
		return 0, c.conflict(ctx, base, change)
	}
	if err := d.Apply(change).Check(); err != nil {
		return 0, classifier.New(classifier.BadRequest, err.Error())
	}
	wire := &messenger.Change{
		Revision: uint64(base) + 1,
		Id:       id,
		Entries:  spreader.EntriesOf(change),
	}
	if err := c.commit(ctx, wire); err != nil {
		if errors.Is(err, committer.ErrConflict) {
			return 0, c.conflict(ctx, base, change)
		}
		return 0, classifier.Wrap(classifier.OutcomeUnknown, err, "the table service gave no answer; the change may have been committed: repeat it under the same id")
	}
	return base + 1, c.committed(ctx, wire)
}

// commitTries is how often a commit without an answer is tried.
const commitTries = 3

func (c *Controller) commit(ctx context.Context, wire *messenger.Change) error {
	var err error
	for range commitTries {
		err = c.Committer.Commit(ctx, wire)
		if !errors.Is(err, keeper.ErrDown) {
			return err
		}
	}
	return err
}

// repeated finds out whether the change was committed before under its id.
func (c *Controller) repeated(ctx context.Context, base identifier.Revision, id string) (identifier.Revision, bool, error) {
	found, err := looper.Get(ctx, c.Loop, func() identifier.Revision {
		changes, _ := c.state.Since(base)
		for _, change := range changes {
			if change.GetId() == id {
				return identifier.Revision(change.GetRevision())
			}
		}
		return 0
	})
	return found, found != 0, err
}

// committed brings a committed change in force here and spreads it.
func (c *Controller) committed(ctx context.Context, wire *messenger.Change) error {
	snapshot, err := looper.Get(ctx, c.Loop, func() *messenger.Change {
		c.update(func(time.Time) { c.state.Apply([]*messenger.Change{wire}) })
		if wire.GetRevision()%snapshotEvery != 0 {
			return nil
		}
		return c.state.Snapshot()
	})
	if err != nil || snapshot == nil {
		return err
	}
	if err := c.Committer.PutSnapshot(ctx, snapshot); err != nil {
		c.Log.WithError(err).Warn("snapshot not kept")
	}
	return nil
}

// conflict returns both sides of a race.
func (c *Controller) conflict(ctx context.Context, base identifier.Revision, mine declarer.Change) error {
	// Without the table the conflict shows what is known here.
	_ = c.catchUp(ctx)
	e, err := looper.Get(ctx, c.Loop, func() *ConflictError {
		changes, _ := c.state.Since(base)
		return &ConflictError{
			Latest:    c.state.Revision(),
			Conflicts: conflicts(changes, mine),
		}
	})
	if err != nil {
		return err
	}
	return e
}

// conflicts returns the sections that both the others' changes and mine set.
func conflicts(theirs []*messenger.Change, mine declarer.Change) []Conflict {
	var out []Conflict
	for _, change := range theirs {
		for _, entry := range change.GetEntries() {
			yours, both := mine[declarer.Key(entry.GetKey())]
			if both {
				out = append(out, Conflict{
					Key:    declarer.Key(entry.GetKey()),
					Theirs: string(entry.GetValue()),
					Yours:  string(yours),
				})
			}
		}
	}
	return out
}

const (
	acceptanceInterval = 100 * time.Millisecond
	acceptanceParallel = 64
)

// keptAcceptances is how many revisions are followed at one time.
const keptAcceptances = 16

// followed is the acceptance of one revision, kept between two questions.
type followed struct {
	mu         sync.Mutex
	acceptance spreader.Acceptance
}

// follow returns what is known of a revision's acceptance.
func (c *Controller) follow(r identifier.Revision) *followed {
	c.followedMu.Lock()
	defer c.followedMu.Unlock()
	if f, ok := c.followed[r]; ok {
		return f
	}
	for old := range c.followed {
		if len(c.followed) >= keptAcceptances {
			delete(c.followed, old)
		}
	}
	f := &followed{acceptance: spreader.Acceptance{
		Revision: r,
		Term:     c.Settings.Peer.Term.Std(),
		Since:    time.Now(),
	}}
	c.followed[r] = f
	return f
}

// Acceptance waits until a revision is in force at every instance that may
// still decide, or until wait has passed; then it names who is waited for.
func (c *Controller) Acceptance(ctx context.Context, r identifier.Revision, wait time.Duration) (bool, []spreader.Waiting, error) {
	have, err := c.Revision(ctx)
	if err != nil {
		return false, nil, err
	}
	if have < r {
		return false, c.itself(), nil
	}
	f := c.follow(r)
	f.mu.Lock()
	defer f.mu.Unlock()
	deadline := time.Now().Add(wait)
	for {
		if err := c.ask(ctx, &f.acceptance); err != nil {
			return false, nil, err
		}
		ok, waiting := f.acceptance.Accepted(time.Now())
		oversees, err := looper.Get(ctx, c.Loop, c.state.Oversees)
		if err != nil {
			return false, nil, err
		}
		if ok && !oversees && r > firstRevision {
			ok, waiting = false, c.itself()
		}
		if ok || time.Now().After(deadline) || !pause(ctx, acceptanceInterval) {
			return ok, waiting, nil
		}
	}
}

// firstRevision has none before it that an instance could decide by.
const firstRevision = 1

func (c *Controller) itself() []spreader.Waiting {
	return []spreader.Waiting{{
		Instance: c.Settings.Instance,
		Site:     c.Settings.Site,
	}}
}

// ask exchanges with every instance that has not answered with the revision.
func (c *Controller) ask(ctx context.Context, a *spreader.Acceptance) error {
	members, err := c.Members(ctx)
	if err != nil {
		return err
	}
	a.Know(members)
	a.Drop(members)
	unreached := a.Unreached()
	replies := make([]*messenger.ExchangeReply, len(unreached))
	var group errgroup.Group
	group.SetLimit(acceptanceParallel)
	for i, m := range unreached {
		group.Go(func() error {
			reply, err := c.Exchange(ctx, m)
			if err == nil {
				replies[i] = reply
			}
			return nil
		})
	}
	// Instances that are not reached stay unreached; there is no other error.
	_ = group.Wait()
	now := time.Now()
	for _, reply := range replies {
		if reply != nil && reply.GetReceiver().GetInstance() != string(c.Settings.Instance) {
			a.Heard(now, reply)
		}
	}
	return nil
}

// Drain marks an endpoint's present life as leaving, keeps the mark in the
// table where that answers, and spreads it.
func (c *Controller) Drain(ctx context.Context, name identifier.Endpoint) ([]identifier.Life, bool, error) {
	lives, err := looper.Get(ctx, c.Loop, func() []identifier.Life {
		var lives []identifier.Life
		for _, l := range c.endpointsNamed(name) {
			lives = append(lives, lifeOf(l))
			c.MarkOnLoop(lifeOf(l))
		}
		return lives
	})
	if err != nil {
		return nil, false, err
	}
	if len(lives) == 0 {
		return nil, false, classifier.New(classifier.NotFound, "there is no endpoint "+string(name)+" in the instance list")
	}
	kept := true
	for _, l := range lives {
		_, err := c.Platform.Commit(ctx, messenger.Commit{
			Put: []messenger.Row{{
				Key:   markKey(l),
				Value: []byte("{}"),
			}},
		})
		kept = kept && err == nil
	}
	return lives, kept, nil
}
