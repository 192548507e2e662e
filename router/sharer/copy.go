package sharer

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/platform/storer"
)

// maxDeleted is how many deleted rows a copy keeps, so that other instances learn of
// the deletions.
const maxDeleted = 4096

// Copy is a copy of a table. It reads no clock: the caller passes the time. The zero
// value holds nothing.
type Copy struct {
	rows map[string]storer.Row
	// deleted is the number of rows that are kept only to report their deletion.
	deleted int
	// floor is the version from which on every deletion is known, and position the point in
	// the store's history up to which the copy is complete.
	floor    storer.Version
	position storer.Position
	// readAt is when the store was asked for the newest news, and failedAt when a call
	// to the store last failed.
	readAt   time.Time
	failedAt time.Time
	// unavailable is set between a failed call to the store and the next news.
	unavailable bool
}

// Replace replaces the copy by a whole table, unless the copy is newer.
func (c *Copy) Replace(p storer.Page) {
	if p.Position().Before(c.position) {
		return
	}
	c.recordTimes(p)
	c.rows = make(map[string]storer.Row, len(p.Rows))
	for _, r := range p.Rows {
		if r.Part == "" {
			c.rows[r.Key] = r
		}
	}
	c.deleted = 0
	c.floor = p.Version
	c.position = p.Position()
}

// Apply applies the changes after a position. Older changes than those of the copy are
// ignored; changes that leave a gap, or follow another history than the copy's, end the
// copy until the whole table is read.
func (c *Copy) Apply(after storer.Position, p storer.Page) {
	if c.rows == nil || p.Position().Before(c.position) {
		return
	}
	if c.position.Before(after) || p.Era != c.position.Era {
		*c = Copy{position: c.position}
		return
	}
	c.recordTimes(p)
	for _, r := range p.Rows {
		if r.Part != "" {
			continue
		}
		old := c.rows[r.Key]
		if old.Version > r.Version {
			continue
		}
		c.deleted += deletedRows(r) - deletedRows(old)
		c.rows[r.Key] = r
	}
	c.position = p.Position()
	if c.deleted > maxDeleted {
		c.dropDeleted()
	}
}

// deletedRows returns 1 if r is kept only to report its deletion.
func deletedRows(r storer.Row) int {
	if r.Deleted {
		return 1
	}
	return 0
}

// dropDeleted forgets the deleted rows: instances that are older than the copy read
// the whole table.
func (c *Copy) dropDeleted() {
	for key, r := range c.rows {
		if r.Deleted {
			delete(c.rows, key)
		}
	}
	c.deleted = 0
	c.floor = c.position.Version
}

// recordTimes records when the news was read, and the failures of the source.
func (c *Copy) recordTimes(p storer.Page) {
	c.unavailable = false
	if p.ReadAt.After(c.readAt) {
		c.readAt = p.ReadAt
	}
	if p.FailedAt.After(c.failedAt) {
		c.failedAt = p.FailedAt
	}
}

// Fail records that a call to the store failed at now.
func (c *Copy) Fail(now time.Time) {
	c.unavailable = true
	c.failedAt = now
}

func (c *Copy) age(now time.Time) time.Duration {
	if c.readAt.IsZero() {
		return 0
	}
	return now.Sub(c.readAt)
}

// Reply returns the answer to a request, or nil if there is no change yet and last is
// not set. A requester that accepts a copy of any age gets it also after the store failed.
func (c *Copy) Reply(now time.Time, maxAge time.Duration, r *messenger.ReadRequest, last bool) *messenger.ReadReply {
	if r.GetAnyAge() && r.GetWhole() && c.rows != nil {
		return c.reply(now, 0, false)
	}
	if c.rows == nil || c.unavailable || c.age(now) > maxAge {
		return &messenger.ReadReply{Unavailable: true}
	}
	if r.GetWhole() {
		return c.reply(now, 0, false)
	}
	after := c.afterOf(r)
	if after.Era < c.position.Era || after.Version < c.floor {
		return &messenger.ReadReply{HistoryDropped: true}
	}
	var reply *messenger.ReadReply
	if after.Era == c.position.Era {
		reply = c.reply(now, after.Version, true)
	}
	if len(reply.GetRows()) == 0 && !last {
		return nil
	}
	if c.position.Before(after) {
		return &messenger.ReadReply{Unavailable: true}
	}
	return reply
}

// afterOf returns the position after which the requester wants the changes. One that
// states no era is taken to mean the copy's, as instances that know none do.
func (c *Copy) afterOf(r *messenger.ReadRequest) storer.Position {
	p := storer.Position{
		Era:     identifier.Era(r.GetEra()),
		Version: storer.Version(r.GetAfter()),
	}
	if p.Era == 0 {
		p.Era = c.position.Era
	}
	return p
}

// reply returns the rows that changed after a version, in the order of their versions.
func (c *Copy) reply(now time.Time, after storer.Version, withDeleted bool) *messenger.ReadReply {
	reply := &messenger.ReadReply{
		Version: uint64(c.position.Version),
		Era:     uint64(c.position.Era),
		AgeMs:   ceilMs(c.age(now)),
	}
	if !c.failedAt.IsZero() {
		reply.FailureAgeMs = min(max(now.Sub(c.failedAt).Milliseconds(), 1), maxReplyAgeMs)
	}
	for _, r := range c.rows {
		if r.Version <= after && after > 0 || r.Deleted && !withDeleted {
			continue
		}
		reply.Rows = append(reply.Rows, &messenger.TableRow{
			Key:     r.Key,
			Value:   r.Value,
			Version: uint64(r.Version),
			Deleted: r.Deleted,
		})
	}
	slices.SortFunc(reply.Rows, func(a, b *messenger.TableRow) int {
		return cmp.Or(cmp.Compare(a.GetVersion(), b.GetVersion()), cmp.Compare(a.GetKey(), b.GetKey()))
	})
	return reply
}

// ceilMs returns d in milliseconds, rounded up: news must not look newer than it is.
func ceilMs(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// maxReplyAgeMs is the greatest age that a reply may state; a greater one is not
// believed.
const maxReplyAgeMs = int64(24 * time.Hour / time.Millisecond)

func validAge(ms int64) bool {
	return ms >= 0 && ms <= maxReplyAgeMs
}

// pageOf returns the page that an instance's reply, received at now to a request sent
// at sent, holds.
// The news is as old as the reply says, counted from the request.
func pageOf(sent, now time.Time, r *messenger.ReadReply) (storer.Page, error) {
	switch {
	case r.GetHistoryDropped():
		return storer.Page{}, storer.ErrHistoryDropped
	case r.GetUnavailable():
		return storer.Page{}, errUnavailable
	case r.GetEra() > uint64(storer.MaxEra):
		return storer.Page{}, errors.Wrapf(errInvalidReply, "era of %d", r.GetEra())
	case !validAge(r.GetAgeMs()) || !validAge(r.GetFailureAgeMs()):
		return storer.Page{}, errors.Wrapf(errInvalidReply, "ages of %d and %d ms", r.GetAgeMs(), r.GetFailureAgeMs())
	}
	page := storer.Page{
		Version: storer.Version(r.GetVersion()),
		Era:     identifier.Era(r.GetEra()),
		ReadAt:  sent.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond),
	}
	if r.GetFailureAgeMs() > 0 {
		page.FailedAt = now.Add(-time.Duration(r.GetFailureAgeMs()) * time.Millisecond)
	}
	for _, row := range r.GetRows() {
		page.Rows = append(page.Rows, storer.Row{
			Key:     row.GetKey(),
			Value:   row.GetValue(),
			Version: storer.Version(row.GetVersion()),
			Deleted: row.GetDeleted(),
		})
	}
	return page, nil
}
