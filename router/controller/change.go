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
	"heatherhold.dev/router/executor"
	"heatherhold.dev/router/gossiper"
	"heatherhold.dev/router/provider"
)

// Conflict is a section that is changed both by a requested change and by a
// change that was committed after the requested change's base revision. Theirs is
// the committed value, Yours the requested one.
type Conflict struct {
	Key    declarer.Key `json:"key"`
	Theirs string       `json:"theirs"`
	Yours  string       `json:"yours"`
}

// ConflictError reports that the base revision of a change is no longer the latest.
type ConflictError struct {
	Latest    identifier.Revision
	Conflicts []Conflict
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return "the configuration has changed since the base revision"
}

// configuration is a revision and its sections.
type configuration struct {
	revision identifier.Revision
	document declarer.Document
}

// Configuration returns the revision in force and its sections.
func (c *Controller) Configuration(ctx context.Context) (identifier.Revision, declarer.Document, error) {
	got, err := executor.Get(ctx, c.Loop, func() configuration {
		return configuration{
			revision: c.state.Revision(),
			document: c.state.Document(),
		}
	})
	return got.revision, got.document, err
}

// snapshotEvery is the number of revisions from one snapshot to the next.
const snapshotEvery = 64

// Change commits a change to the base revision under the given change id and
// returns the new revision. After an error the same call may be retried: the change
// takes effect only once.
func (c *Controller) Change(ctx context.Context, base identifier.Revision, id string, change declarer.Change) (identifier.Revision, error) {
	if err := c.catchUp(ctx); err != nil {
		return 0, classifier.Wrap(classifier.PlatformDown, err, "the table service did not respond; nothing was changed")
	}
	current, document, err := c.Configuration(ctx)
	if err != nil {
		return 0, err
	}
	if revision, ok, err := c.findCommitted(ctx, base, id); ok || err != nil {
		return revision, err
	}
	if current != base {
		return 0, c.conflictError(ctx, base, change)
	}
	if err := document.Apply(change).Check(); err != nil {
		return 0, classifier.New(classifier.BadRequest, err.Error())
	}
	message := &messenger.Change{
		Revision: uint64(base) + 1,
		Id:       id,
		Entries:  gossiper.EntriesOf(change),
	}
	if err := c.commit(ctx, message); err != nil {
		if errors.Is(err, committer.ErrConflict) {
			return 0, c.conflictError(ctx, base, change)
		}
		return 0, classifier.Wrap(classifier.OutcomeUnknown, err, "the table service did not respond; the change may have been committed: retry it with the same id")
	}
	return base + 1, c.applyCommitted(ctx, message)
}

// commitAttempts is how many times a commit is attempted while the platform does
// not respond.
const commitAttempts = 3

func (c *Controller) commit(ctx context.Context, message *messenger.Change) error {
	var err error
	for range commitAttempts {
		err = c.Committer.Commit(ctx, message)
		if !errors.Is(err, provider.ErrUnavailable) {
			return err
		}
	}
	return err
}

// findCommitted looks among the changes after base for one with the given id
// and returns its revision. It reports whether there is one.
func (c *Controller) findCommitted(ctx context.Context, base identifier.Revision, id string) (identifier.Revision, bool, error) {
	found, err := executor.Get(ctx, c.Loop, func() identifier.Revision {
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

// applyCommitted applies a committed change to the local state, which also
// triggers sending it to peers. Every snapshotEvery revisions it stores a snapshot.
func (c *Controller) applyCommitted(ctx context.Context, message *messenger.Change) error {
	snapshot, err := executor.Get(ctx, c.Loop, func() *messenger.Change {
		c.update(func(time.Time) { c.state.Apply([]*messenger.Change{message}) })
		if message.GetRevision()%snapshotEvery != 0 {
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

// conflictError returns a ConflictError with the sections that are changed both
// by requested and by the changes committed after base.
func (c *Controller) conflictError(ctx context.Context, base identifier.Revision, requested declarer.Change) error {
	// If the table can't be read, the conflict is taken from the local state.
	_ = c.catchUp(ctx)
	e, err := executor.Get(ctx, c.Loop, func() *ConflictError {
		changes, _ := c.state.Since(base)
		return &ConflictError{
			Latest:    c.state.Revision(),
			Conflicts: conflictingSections(changes, requested),
		}
	})
	if err != nil {
		return err
	}
	return e
}

// conflictingSections returns the sections that are changed both by the committed
// changes and by the requested one.
func conflictingSections(committed []*messenger.Change, requested declarer.Change) []Conflict {
	var out []Conflict
	for _, change := range committed {
		for _, entry := range change.GetEntries() {
			yours, found := requested[declarer.Key(entry.GetKey())]
			if found {
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
	// acceptanceInterval is the pause before members are queried again.
	acceptanceInterval = 100 * time.Millisecond
	// maxConcurrentQueries limits the concurrent exchanges of one call of queryMembers.
	maxConcurrentQueries = 64
)

// maxTrackedRevisions limits the revisions whose acceptance is tracked at a time.
const maxTrackedRevisions = 16

// trackedAcceptance is the acceptance state of one revision, kept from one call
// of Acceptance to the next.
type trackedAcceptance struct {
	mu         sync.Mutex
	acceptance gossiper.Acceptance
}

// track returns the acceptance state of a revision, and begins to track it if
// it is new. If maxTrackedRevisions are tracked already, it discards one of them,
// whichever the map iteration yields first.
func (c *Controller) track(r identifier.Revision) *trackedAcceptance {
	c.trackedMu.Lock()
	defer c.trackedMu.Unlock()
	if tracked, ok := c.tracked[r]; ok {
		return tracked
	}
	for other := range c.tracked {
		if len(c.tracked) >= maxTrackedRevisions {
			delete(c.tracked, other)
		}
	}
	tracked := &trackedAcceptance{acceptance: gossiper.Acceptance{
		Revision: r,
		Term:     c.Settings.Peer.Term.Std(),
		Since:    time.Now(),
	}}
	c.tracked[r] = tracked
	return tracked
}

// Acceptance waits until a revision is in force at every instance that may
// still make decisions, or until wait has passed. It reports whether the
// revision is accepted and, if not, which instances are not known to have it.
func (c *Controller) Acceptance(ctx context.Context, r identifier.Revision, wait time.Duration) (bool, []gossiper.Waiting, error) {
	current, err := c.Revision(ctx)
	if err != nil {
		return false, nil, err
	}
	if current < r {
		return false, c.waitingForSelf(), nil
	}
	tracked := c.track(r)
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	deadline := time.Now().Add(wait)
	for {
		if err := c.queryMembers(ctx, &tracked.acceptance); err != nil {
			return false, nil, err
		}
		ok, waiting := tracked.acceptance.Accepted(time.Now())
		allKnown, err := executor.Get(ctx, c.Loop, c.state.KnowsAllMembers)
		if err != nil {
			return false, nil, err
		}
		if ok && !allKnown && r > firstRevision {
			ok, waiting = false, c.waitingForSelf()
		}
		if ok || time.Now().After(deadline) || !sleep(ctx, acceptanceInterval) {
			return ok, waiting, nil
		}
	}
}

// firstRevision is the first revision. No instance can still act on an older one, so
// its acceptance doesn't require that all members are known.
const firstRevision = 1

func (c *Controller) waitingForSelf() []gossiper.Waiting {
	return []gossiper.Waiting{{
		Instance: c.Settings.Instance,
		Site:     c.Settings.Site,
	}}
}

// queryMembers exchanges with every instance that has not yet reported the
// revision, and records the replies in a.
func (c *Controller) queryMembers(ctx context.Context, a *gossiper.Acceptance) error {
	members, err := c.Members(ctx)
	if err != nil {
		return err
	}
	a.AddMembers(members)
	a.RemoveAbsent(members)
	pending := a.Pending()
	replies := make([]*messenger.ExchangeReply, len(pending))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i, m := range pending {
		group.Go(func() error {
			reply, err := c.Exchange(ctx, m)
			if err == nil {
				replies[i] = reply
			}
			return nil
		})
	}
	// No function returns an error: an instance whose exchange fails stays pending.
	_ = group.Wait()
	now := time.Now()
	for _, reply := range replies {
		if reply != nil && reply.GetReceiver().GetInstance() != string(c.Settings.Instance) {
			a.RecordReply(now, reply)
		}
	}
	return nil
}

// Drain marks the listed incarnations of an endpoint as leaving, which also
// triggers sending the marks to peers, and tries to store the marks in the
// table. It returns the incarnations and reports whether all marks were stored.
func (c *Controller) Drain(ctx context.Context, name identifier.Endpoint) ([]identifier.EndpointIncarnation, bool, error) {
	incarnations, err := executor.Get(ctx, c.Loop, func() []identifier.EndpointIncarnation {
		var incarnations []identifier.EndpointIncarnation
		for _, l := range c.endpointsNamed(name) {
			incarnations = append(incarnations, incarnationOf(l))
			c.MarkLeavingOnLoop(incarnationOf(l))
		}
		return incarnations
	})
	if err != nil {
		return nil, false, err
	}
	if len(incarnations) == 0 {
		return nil, false, classifier.New(classifier.NotFound, "there is no endpoint "+string(name)+" in the instance list")
	}
	stored := true
	for _, incarnation := range incarnations {
		_, err := c.Platform.Commit(ctx, messenger.Commit{
			Put: []messenger.Row{{
				Key:   markKey(incarnation),
				Value: []byte("{}"),
			}},
		})
		stored = stored && err == nil
	}
	return incarnations, stored, nil
}
