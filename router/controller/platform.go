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
	"heatherhold.dev/router/looper"
)

// routerRole is the role of router instances in the platform's list.
const routerRole = "router"

// markPrefix is where drains are kept in the table.
const markPrefix = "mark/"

// readList announces the instance and reads the platform's list. While the
// list is down the last one stays.
func (c *Controller) readList(ctx context.Context) {
	if !c.Observer.Stopping() {
		if err := c.Platform.Announce(ctx, c.self()); err != nil {
			c.Log.WithError(err).Debug("not announced")
		}
	}
	listed, err := c.Platform.List(ctx)
	if err != nil {
		if !c.listLost {
			c.Log.WithError(err).Warn("instance list not read; the last one stays in use")
		}
		c.listLost = true
		return
	}
	if c.listLost {
		c.listLost = false
		c.Log.Info("instance list read again")
	}
	c.Loop.Post(func() {
		c.update(func(now time.Time) { c.takeList(now, listed) })
	})
}

func (c *Controller) self() messenger.Listed {
	return messenger.Listed{
		Name:        string(c.Settings.Instance),
		Role:        routerRole,
		Address:     c.Settings.Listen.Peer,
		Incarnation: c.incarnation,
		DataCentre:  string(c.Settings.DataCentre),
		Site:        string(c.Settings.Site),
	}
}

func (c *Controller) takeList(now time.Time, listed []messenger.Listed) {
	var members []*messenger.Member
	for _, l := range listed {
		if l.Role == routerRole {
			members = append(members, &messenger.Member{
				Instance:    l.Name,
				Address:     l.Address,
				Site:        l.Site,
				Incarnation: l.Incarnation,
				Leaving:     l.Leaving,
			})
			continue
		}
		if l.Leaving {
			c.state.Mark(now, lifeOf(l))
		}
	}
	c.state.Listed(now, members)
	if !slices.Equal(c.listed, listed) {
		c.listed = listed
		c.edits = 0
	}
}

func lifeOf(l messenger.Listed) identifier.Life {
	return identifier.Life{
		Endpoint:    identifier.Endpoint(l.Name),
		Incarnation: identifier.Incarnation(l.Incarnation),
	}
}

// lookParts is how often in a term the instance looks whether it needs the table.
const lookParts = 6

// readTableAlways reads the table's head: seldom while peers confirm the
// instance, and often while they don't.
func (c *Controller) readTableAlways(ctx context.Context) error {
	c.loadSnapshot(ctx)
	c.loadMarks(ctx)
	var last time.Time
	for {
		if time.Since(last) >= c.Settings.Platform.TableInterval.Std() || c.lonely(ctx) {
			last = time.Now()
			c.readTable(ctx)
		}
		if !pause(ctx, jitter(c.Settings.Peer.Term.Std()/lookParts)) {
			return nil
		}
	}
}

// lonely reports whether the instance needs the table to go on deciding: no
// peer has confirmed it for half a term, or it is a newcomer.
func (c *Controller) lonely(ctx context.Context) bool {
	lonely, err := looper.Get(ctx, c.Loop, func() bool {
		now := time.Now()
		return c.state.ConfirmedUntil().Sub(now) < c.Settings.Peer.Term.Std()/2 || !c.state.Established(now)
	})
	return err == nil && lonely
}

func (c *Controller) loadSnapshot(ctx context.Context) {
	snapshot, err := c.Committer.Snapshot(ctx)
	if err != nil || snapshot == nil {
		return
	}
	// Peers may have brought more meanwhile; an older snapshot is ignored.
	_ = c.Loop.Do(ctx, func() {
		c.update(func(time.Time) { c.state.Restore(snapshot) })
	})
}

// readTable reads the latest revision and the changes up to it.
func (c *Controller) readTable(ctx context.Context) {
	if err := c.catchUp(ctx); err != nil {
		c.Log.WithError(err).Debug("table not read")
	}
}

// catchUp brings the instance to the table's revision.
func (c *Controller) catchUp(ctx context.Context) error {
	sent := time.Now()
	head, err := c.Committer.Head(ctx)
	if err != nil {
		return err
	}
	have, err := c.Revision(ctx)
	if err != nil {
		return err
	}
	var changes []*messenger.Change
	if have < head {
		if changes, err = c.Committer.After(ctx, have); err != nil {
			return err
		}
	}
	return c.Loop.Do(ctx, func() {
		c.update(func(time.Time) {
			c.state.Apply(changes)
			c.state.TableRead(sent, head)
		})
	})
}

// Revision returns the revision in force.
func (c *Controller) Revision(ctx context.Context) (identifier.Revision, error) {
	return looper.Get(ctx, c.Loop, c.state.Revision)
}

func markKey(l identifier.Life) string {
	return markPrefix + url.PathEscape(string(l.Endpoint)) + "/" + strconv.FormatUint(uint64(l.Incarnation), 10)
}

// loadMarks reads the drains that are kept in the table.
func (c *Controller) loadMarks(ctx context.Context) {
	rows, err := c.Platform.Scan(ctx, markPrefix, "")
	if err != nil {
		return
	}
	for _, row := range rows {
		if l, ok := lifeOfMark(row.Key); ok {
			c.MarkLeaving(l)
		}
	}
}

func lifeOfMark(key string) (identifier.Life, bool) {
	name, number, ok := strings.Cut(strings.TrimPrefix(key, markPrefix), "/")
	if !ok {
		return identifier.Life{}, false
	}
	endpoint, err := url.PathUnescape(name)
	if err != nil {
		return identifier.Life{}, false
	}
	incarnation, err := strconv.ParseUint(number, 10, 64)
	return identifier.Life{
		Endpoint:    identifier.Endpoint(endpoint),
		Incarnation: identifier.Incarnation(incarnation),
	}, err == nil
}
