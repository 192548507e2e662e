// Package sharer lets few instances read the platform's store, and all others read
// from them, so that the calls to the store grow with the number of data centres and
// not of instances. Each instance keeps a copy of the tables that it reads, from
// whichever source, and answers other instances from it. Every answer says how old
// its news is; news that is too old is not passed on.
package sharer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/platform/storer"
	"heatherhold.dev/router/publisher"
)

const (
	// followWait is how long another instance may wait for a change before it answers.
	// It also bounds the time until a silent instance is noticed.
	followWait = 700 * time.Millisecond
	// followTimeout bounds an instance's answer in addition to the wait.
	followTimeout = 400 * time.Millisecond
	// hedgeDelay is how long after the wait the next source is asked as well. The question to
	// the first one goes on.
	hedgeDelay = 100 * time.Millisecond
)

// ErrNoSource means that neither the store nor an instance that reads it was
// reached, and that it is too soon to try again.
var ErrNoSource = errors.New("no source of the platform's tables is available")

// errUnavailable means that an instance has no copy that is new enough.
var errUnavailable = errors.New("the instance has no recent copy of the table")

// errInvalidReply means that an instance sent a reply that cannot be right.
var errInvalidReply = errors.New("invalid reply")

// Store is the subset of the platform store's client that a sharer uses.
type Store interface {
	Rows(ctx context.Context, table string) (storer.Page, error)
	Feed(ctx context.Context, table string, after storer.Position, wait time.Duration) (storer.Page, error)
}

// Peers asks other instances for their copies.
type Peers interface {
	Read(ctx context.Context, address string, r *messenger.ReadRequest) (*messenger.ReadReply, error)
}

// Sharer reads tables from the store or from another instance. It implements Store
// itself. Set the exported fields before the first call.
type Sharer struct {
	Self      identifier.Instance
	Store     Store
	Peers     Peers
	Publisher *publisher.Publisher
	// MaxAge is how old the news of a table may be that is passed on, by table; a
	// table that is not listed is not shared.
	MaxAge map[string]time.Duration
	// OnRead, if not nil, is called after each read with its source, which is
	// "store" or "instance".
	OnRead func(table, source string, err error)
	// OnEra, if not nil, is called with the era of the store that an instance's copy shows.
	OnEra func(identifier.Era)
	// FirstFromPeers has the tables of which a starting instance takes any instance's copy,
	// however old, while it holds none and the normal read fails or takes long.
	FirstFromPeers map[string]bool
	// Address is this instance's own peer address. Seeds are the peer addresses that are asked
	// for such a copy while no member is known.
	Address string
	Seeds   []string
	// Era, if not nil, returns the newest era of the store that this instance knows of.
	Era func() identifier.Era
	// OnPeerCopy, if not nil, is called with the outcome of each question for such a copy.
	OnPeerCopy func(outcome string)
	Log        logrus.FieldLogger

	mu     sync.Mutex
	tables map[string]*table
}

// table is one shared table: the copy, and which source is read next.
type table struct {
	name    string
	maxAge  time.Duration
	chooser Chooser

	mu   sync.Mutex
	copy Copy
	// changed is closed and replaced whenever the copy changes.
	changed chan struct{}
	// source is the source of the last successful read; empty for the store.
	source identifier.Instance

	// questions has the questions to other instances that are not answered yet.
	questions errgroup.Group
}

// Sources of reads, as OnRead names them.
const (
	sourceStore    = "store"
	sourceInstance = "instance"
)

func (s *Sharer) table(name string) *table {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tables == nil {
		s.tables = make(map[string]*table)
	}
	t, ok := s.tables[name]
	if !ok {
		t = &table{
			name:    name,
			maxAge:  s.MaxAge[name],
			changed: make(chan struct{}),
		}
		s.tables[name] = t
	}
	return t
}

// Rows returns all rows of a table.
func (s *Sharer) Rows(ctx context.Context, name string) (storer.Page, error) {
	t := s.table(name)
	r := &messenger.ReadRequest{
		Table: name,
		Whole: true,
	}
	if s.FirstFromPeers[name] && t.neverRead() {
		return s.readFirst(ctx, t, r)
	}
	return s.read(ctx, t, r)
}

// Feed returns the changes of a table after a position. If there are none yet, it
// waits up to wait for the first one, or for a shorter time.
func (s *Sharer) Feed(ctx context.Context, name string, after storer.Position, wait time.Duration) (storer.Page, error) {
	return s.read(ctx, s.table(name), &messenger.ReadRequest{
		Table:  name,
		After:  uint64(after.Version),
		Era:    uint64(after.Era),
		WaitMs: wait.Milliseconds(),
	})
}

// readStore reads from the store and updates the copy.
func (s *Sharer) readStore(ctx context.Context, t *table, r *messenger.ReadRequest) (storer.Page, error) {
	sent := time.Now()
	var page storer.Page
	var err error
	if r.GetWhole() {
		page, err = s.Store.Rows(ctx, t.name)
	} else {
		page, err = s.Store.Feed(ctx, t.name, positionOf(r), time.Duration(r.GetWaitMs())*time.Millisecond)
	}
	if err != nil && ctx.Err() != nil {
		// The call was given up, which says nothing about the store.
		return page, err
	}
	s.observe(t, sourceStore, err)
	if errors.Is(err, storer.ErrHistoryDropped) {
		return page, err
	}
	if err != nil {
		t.chooser.StoreFailed(time.Now(), s.Self)
		t.update("", func(c *Copy) { c.Fail(time.Now()) })
		return page, err
	}
	t.chooser.Succeeded("")
	page.ReadAt = sent
	t.record("", r, page)
	return page, nil
}

// accept checks another instance's answer to a question that was sent at sent, and updates the
// copy.
func (s *Sharer) accept(t *table, source identifier.Instance, r *messenger.ReadRequest, a answer) (storer.Page, error) {
	page, err := a.page, a.err
	s.observe(t, sourceInstance, err)
	switch {
	case errors.Is(err, storer.ErrHistoryDropped) && r.GetWhole():
		err = errors.Wrap(errInvalidReply, "no history for the whole table")
	case errors.Is(err, storer.ErrHistoryDropped):
		return storer.Page{}, err
	case err == nil && page.Position().Before(t.position()), err == nil && a.sent.Sub(page.ReadAt) > t.maxAge:
		// Nothing that this instance has read is taken back.
		err = errUnavailable
	}
	if errors.Is(err, errInvalidReply) {
		s.Log.WithError(err).WithField("peer", source).WithField("table", t.name).Warn("reply of an instance set aside")
	}
	if errors.Is(err, errUnavailable) || errors.Is(err, errInvalidReply) {
		t.chooser.Unavailable(time.Now(), source)
		return storer.Page{}, err
	}
	if err != nil {
		t.chooser.Silent(time.Now(), source)
		return storer.Page{}, err
	}
	t.chooser.Succeeded(source)
	if s.OnEra != nil {
		s.OnEra(page.Era)
	}
	t.record(source, r, page)
	return page, nil
}

// ask asks another instance for a table.
func (s *Sharer) ask(ctx context.Context, sent time.Time, source identifier.Instance, r *messenger.ReadRequest, wait time.Duration) (storer.Page, error) {
	address, ok := s.Publisher.View().Peers[source]
	if !ok {
		return storer.Page{}, errors.Errorf("no address for instance %q", source)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+followTimeout)
	defer cancel()
	reply, err := s.Peers.Read(ctx, address, &messenger.ReadRequest{
		Table:  r.GetTable(),
		Whole:  r.GetWhole(),
		After:  r.GetAfter(),
		Era:    r.GetEra(),
		WaitMs: wait.Milliseconds(),
	})
	if err != nil {
		return storer.Page{}, err
	}
	return pageOf(sent, time.Now(), reply)
}

func (s *Sharer) observe(t *table, source string, err error) {
	if s.OnRead != nil {
		s.OnRead(t.name, source, err)
	}
}

// record updates the copy with a page that was read.
func (t *table) record(source identifier.Instance, r *messenger.ReadRequest, page storer.Page) {
	t.update(source, func(c *Copy) {
		if r.GetWhole() {
			c.Replace(page)
			return
		}
		c.Apply(positionOf(r), page)
	})
}

// update changes the copy and wakes the instances that wait for a change.
func (t *table) update(source identifier.Instance, change func(*Copy)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.copy)
	t.source = source
	close(t.changed)
	t.changed = make(chan struct{})
}

// position returns the newest position that was read.
func (t *table) position() storer.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.copy.position
}

// positionOf returns the position after which a request asks for changes.
func positionOf(r *messenger.ReadRequest) storer.Position {
	return storer.Position{
		Era:     identifier.Era(r.GetEra()),
		Version: storer.Version(r.GetAfter()),
	}
}

// Handle answers another instance. It waits for a change for as long as the request
// allows.
func (s *Sharer) Handle(ctx context.Context, r *messenger.ReadRequest) *messenger.ReadReply {
	if s.MaxAge[r.GetTable()] <= 0 {
		return &messenger.ReadReply{Unavailable: true}
	}
	t := s.table(r.GetTable())
	wait := min(max(time.Duration(r.GetWaitMs())*time.Millisecond, 0), followWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	last := wait == 0
	for {
		reply, changed := t.reply(r, last)
		if reply != nil {
			return reply
		}
		select {
		case <-ctx.Done():
			return &messenger.ReadReply{Unavailable: true}
		case <-timer.C:
			last = true
		case <-changed:
		}
	}
}

// reply returns the answer to a request; nil if there is no change yet and the
// request can still wait, until the returned channel is closed.
func (t *table) reply(r *messenger.ReadRequest, last bool) (*messenger.ReadReply, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.copy.Reply(time.Now(), t.maxAge, r, last), t.changed
}

// Age returns how long ago the store was asked for the newest copy of a table.
func (s *Sharer) Age(name string) time.Duration {
	t := s.table(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.copy.age(time.Now())
}

// Source returns the instance from which a table was last read; empty if it was the
// store.
func (s *Sharer) Source(name string) identifier.Instance {
	t := s.table(name)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.source
}
