package controller

import (
	"context"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/executor"
)

// markPrefix is the prefix of the table keys under which the marks of drained
// endpoints are stored.
const markPrefix = "mark/"

// readList announces the instance, unless it is stopping, and reads the
// platform's list. If the read fails, the last list stays in use.
func (c *Controller) readList(ctx context.Context) {
	if !c.Publisher.Stopping() {
		if err := c.Platform.Register(ctx, c.ownListing()); err != nil {
			c.Log.WithError(err).Debug("not announced")
		}
	}
	listed, err := c.Platform.List(ctx)
	if err != nil {
		if !c.listUnavailable {
			c.Log.WithError(err).Warn("instance list not read; the last one stays in use")
		}
		c.listUnavailable = true
		return
	}
	if c.listUnavailable {
		c.listUnavailable = false
		c.Log.Info("instance list read again")
	}
	c.Loop.Post(func() {
		c.update(func(now time.Time) { c.applyList(now, listed) })
	})
}

func (c *Controller) ownListing() messenger.ListedInstance {
	return messenger.ListedInstance{
		Name:        string(c.Settings.Instance),
		Role:        messenger.RouterRole,
		Address:     c.Settings.Listen.Peer,
		Incarnation: c.incarnation.Load(),
		DataCentre:  string(c.Settings.DataCentre),
		Site:        string(c.Settings.Site),
		Processor:   processorOf(c.Settings),
	}
}

func (c *Controller) applyList(now time.Time, listed []messenger.ListedInstance) {
	var members []*messenger.Member
	for _, l := range listed {
		if l.Role == messenger.RouterRole {
			members = append(members, &messenger.Member{
				Instance:    l.Name,
				Address:     l.Address,
				Site:        l.Site,
				Incarnation: l.Incarnation,
				Leaving:     l.Leaving,
				Processor:   l.Processor,
			})
			continue
		}
		if l.Leaving {
			c.state.Mark(now, incarnationOf(l))
		}
	}
	c.state.UpdateListed(now, members)
	if !slices.Equal(c.listed, listed) {
		c.listed = listed
		c.publishedChangeCount = 0
	}
}

func incarnationOf(l messenger.ListedInstance) identifier.EndpointIncarnation {
	return identifier.EndpointIncarnation{
		Endpoint:    identifier.Endpoint(l.Name),
		Incarnation: identifier.Incarnation(l.Incarnation),
	}
}

// tableChecksPerTerm is how many times per term the instance checks whether it
// needs to read the table.
const tableChecksPerTerm = 6

// pollTable loads the snapshot and the marks, and then reads the table until ctx
// ends: at the table interval while peers confirm the instance, and at every check
// while needsTable reports true.
func (c *Controller) pollTable(ctx context.Context) error {
	c.loadSnapshot(ctx)
	c.loadMarks(ctx)
	var last time.Time
	for {
		if time.Since(last) >= c.Settings.Platform.TableInterval.Std() || c.needsTable(ctx) {
			last = time.Now()
			c.readTable(ctx)
		}
		if !sleep(ctx, jitter(c.Settings.Peer.Term.Std()/tableChecksPerTerm)) {
			return nil
		}
	}
}

// needsTable reports whether the instance must read the table to be allowed to
// go on making decisions: its confirmation ends within half a term, or the instance
// is too new to be established.
func (c *Controller) needsTable(ctx context.Context) bool {
	needed, err := executor.Get(ctx, c.Loop, func() bool {
		now := time.Now()
		return c.state.ConfirmedUntil().Sub(now) < c.Settings.Peer.Term.Std()/2 || !c.state.Established(now)
	})
	return err == nil && needed
}

func (c *Controller) loadSnapshot(ctx context.Context) {
	snapshot, err := c.Committer.Snapshot(ctx)
	if err != nil || snapshot == nil {
		return
	}
	// A peer may have sent a newer revision meanwhile; Restore ignores an older
	// snapshot.
	_ = c.Loop.Do(ctx, func() {
		c.update(func(time.Time) { c.state.Restore(snapshot) })
	})
}

// readTable applies the changes up to the table's latest revision and logs a failure.
func (c *Controller) readTable(ctx context.Context) {
	if err := c.catchUp(ctx); err != nil {
		c.Log.WithError(err).Debug("table not read")
	}
}

// catchUp applies the changes up to the table's latest revision.
func (c *Controller) catchUp(ctx context.Context) error {
	sentAt := time.Now()
	head, err := c.Committer.Head(ctx)
	if err != nil {
		return err
	}
	current, err := c.Revision(ctx)
	if err != nil {
		return err
	}
	var changes []*messenger.Change
	if current < head {
		if changes, err = c.Committer.ChangesAfter(ctx, current); err != nil {
			return err
		}
	}
	return c.Loop.Do(ctx, func() {
		c.update(func(time.Time) {
			c.state.Apply(changes)
			c.state.RecordTableRead(sentAt, head)
		})
	})
}

// Revision returns the revision in force.
func (c *Controller) Revision(ctx context.Context) (identifier.Revision, error) {
	return executor.Get(ctx, c.Loop, c.state.Revision)
}

func markKey(incarnation identifier.EndpointIncarnation) string {
	return markPrefix + url.PathEscape(string(incarnation.Endpoint)) + "/" + strconv.FormatUint(uint64(incarnation.Incarnation), 10)
}

// loadMarks applies the marks that are stored in the table.
func (c *Controller) loadMarks(ctx context.Context) {
	rows, err := c.Platform.Scan(ctx, markPrefix, "")
	if err != nil {
		return
	}
	for _, row := range rows {
		if incarnation, ok := parseMarkKey(row.Key); ok {
			c.MarkLeaving(incarnation)
		}
	}
}

func parseMarkKey(key string) (identifier.EndpointIncarnation, bool) {
	name, number, ok := strings.Cut(strings.TrimPrefix(key, markPrefix), "/")
	if !ok {
		return identifier.EndpointIncarnation{}, false
	}
	endpoint, err := url.PathUnescape(name)
	if err != nil {
		return identifier.EndpointIncarnation{}, false
	}
	incarnation, err := strconv.ParseUint(number, 10, 64)
	return identifier.EndpointIncarnation{
		Endpoint:    identifier.Endpoint(endpoint),
		Incarnation: identifier.Incarnation(incarnation),
	}, err == nil
}
