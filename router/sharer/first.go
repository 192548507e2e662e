package sharer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/platform/storer"
)

const (
	// firstReadDelay is how long a starting instance waits for the normal read of a table before
	// it asks any instance for its copy.
	firstReadDelay = 300 * time.Millisecond
	// maxPeerQuestions is how many instances are asked for their copy at the same time, and
	// maxPeersAsked how many in one read: in a restart of the whole fleet nobody has a copy.
	maxPeerQuestions = 3
	maxPeersAsked    = 12
)

// Outcomes of questions for another instance's copy, as OnPeerCopy names them.
const (
	outcomeUsed        = "used"
	outcomeUnavailable = "unavailable"
	outcomeOlder       = "older"
	outcomeInvalid     = "invalid"
	outcomeSilent      = "silent"
)

// peer is an instance that may have a copy, by its name and address. Of a seed only the address
// is known.
type peer struct {
	instance identifier.Instance
	address  string
}

// peerCopy is a peer's answer to a question that was sent at sent, or the error instead of it.
type peerCopy struct {
	peer  peer
	sent  time.Time
	reply *messenger.ReadReply
	err   error
}

// readResult is the result of a normal read.
type readResult struct {
	page storer.Page
	err  error
}

// firstRead is the first read of a table by a starting instance: the normal read, and the copies
// of other instances, of any age, once that has failed or takes too long.
type firstRead struct {
	sharer *Sharer
	table  *table
	// normal delivers the result of the normal read; stop ends that read and waits for its end,
	// because the sources are chosen by one read at a time.
	normal chan readResult
	stop   func()
	// failure is the error of the normal read once it has failed.
	failure error
	// peers are the instances that were not asked yet, and open is the number of questions.
	peers  []peer
	copies chan peerCopy
	open   int
}

// neverRead reports whether no copy of the table was ever held, so that another instance's copy
// can take nothing back.
func (t *table) neverRead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.copy.rows == nil && t.copy.position == (storer.Position{})
}

// readFirst reads a table of which no copy was ever held.
func (s *Sharer) readFirst(ctx context.Context, t *table, r *messenger.ReadRequest) (storer.Page, error) {
	f := &firstRead{
		sharer: s,
		table:  t,
		normal: make(chan readResult, 1),
		copies: make(chan peerCopy, maxPeersAsked),
	}
	normalCtx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		page, err := s.read(normalCtx, t, r)
		f.normal <- readResult{
			page: page,
			err:  err,
		}
		return nil
	})
	f.stop = func() {
		cancel()
		// The function returns no error.
		_ = group.Wait()
	}
	defer f.stop()
	timer := time.NewTimer(firstReadDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return storer.Page{}, ctx.Err()
	case got := <-f.normal:
		if got.err == nil {
			return got.page, nil
		}
		f.failure = got.err
	case <-timer.C:
	}
	f.peers = s.somePeers()
	return f.run(ctx, r)
}

// run asks the peers until one has a copy, or the normal read has succeeded. It returns the
// error of the normal read if no peer has a copy.
func (f *firstRead) run(ctx context.Context, r *messenger.ReadRequest) (storer.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		f.ask(ctx, r)
		if f.open == 0 && f.failure != nil {
			return storer.Page{}, f.failure
		}
		select {
		case <-ctx.Done():
			return storer.Page{}, ctx.Err()
		case got := <-f.normal:
			if got.err == nil {
				return got.page, nil
			}
			f.failure = got.err
		case c := <-f.copies:
			f.open--
			page, ok := f.accept(c)
			if !ok {
				continue
			}
			return f.use(c.peer, r, page)
		}
	}
}

// ask asks further peers, as many at once as maxPeerQuestions.
func (f *firstRead) ask(ctx context.Context, r *messenger.ReadRequest) {
	for f.open < maxPeerQuestions && len(f.peers) > 0 {
		p := f.peers[0]
		f.peers = f.peers[1:]
		f.open++
		sent := time.Now()
		f.table.questions.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, followTimeout)
			defer cancel()
			reply, err := f.sharer.Peers.Read(ctx, p.address, &messenger.ReadRequest{
				Table:  r.GetTable(),
				Whole:  true,
				AnyAge: true,
			})
			f.copies <- peerCopy{
				peer:  p,
				sent:  sent,
				reply: reply,
				err:   err,
			}
			return nil
		})
	}
}

// accept returns the page of a peer's copy; false if it can't be used.
func (f *firstRead) accept(c peerCopy) (storer.Page, bool) {
	s := f.sharer
	log := s.Log.WithField("peer", c.peer.instance).WithField("table", f.table.name)
	if c.err != nil {
		s.countPeerCopy(outcomeSilent)
		log.WithError(c.err).Debug("copy of a table not received from an instance")
		return storer.Page{}, false
	}
	page, err := pageOf(c.sent, time.Now(), c.reply)
	switch {
	case errors.Is(err, errUnavailable):
		s.countPeerCopy(outcomeUnavailable)
		return storer.Page{}, false
	case err != nil:
		s.countPeerCopy(outcomeInvalid)
		log.WithError(err).Warn("reply of an instance set aside")
		return storer.Page{}, false
	}
	if page.Position().Before(f.table.position()) || page.Era < s.knownEra() {
		s.countPeerCopy(outcomeOlder)
		log.WithField("era", page.Era).WithField("version", page.Version).Info("copy of a table from an older history set aside")
		return storer.Page{}, false
	}
	page, invalid := validRows(page)
	if invalid > 0 {
		log.WithField("rows", invalid).Warn("rows of an instance's copy set aside")
	}
	if len(page.Rows) == 0 {
		s.countPeerCopy(outcomeUnavailable)
		return storer.Page{}, false
	}
	return page, true
}

// validRows returns the page without the rows that a whole copy can't have, and their number:
// deleted ones, and those that are newer than the copy, which would hide later changes.
func validRows(page storer.Page) (storer.Page, int) {
	rows := page.Rows
	page.Rows = make([]storer.Row, 0, len(rows))
	for _, r := range rows {
		if r.Key != "" && !r.Deleted && r.Version <= page.Version {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, len(rows) - len(page.Rows)
}

// use makes a peer's page the own copy, unless the normal read has succeeded at the same time.
func (f *firstRead) use(from peer, r *messenger.ReadRequest, page storer.Page) (storer.Page, error) {
	f.stop()
	select {
	case got := <-f.normal:
		if got.err == nil {
			return got.page, nil
		}
	default:
	}
	s := f.sharer
	s.countPeerCopy(outcomeUsed)
	if s.OnEra != nil {
		s.OnEra(page.Era)
	}
	f.table.record(from.instance, r, page)
	s.Log.WithField("peer", from.instance).WithField("table", f.table.name).
		WithField("era", page.Era).WithField("version", page.Version).
		WithField("rows", len(page.Rows)).WithField("age-ms", time.Since(page.ReadAt).Milliseconds()).
		Info("copy of a table taken from an instance; it may be out of date")
	return page, nil
}

// somePeers returns instances to ask, in random order, so that instances which start together
// don't all ask the same: members of the published view or, if none is known, the seeds.
func (s *Sharer) somePeers() []peer {
	var peers []peer
	for i, address := range s.Publisher.View().Peers {
		if i != s.Self {
			peers = append(peers, peer{
				instance: i,
				address:  address,
			})
		}
	}
	if len(peers) == 0 {
		for _, address := range s.Seeds {
			if address != s.Address {
				peers = append(peers, peer{
					instance: identifier.Instance(address),
					address:  address,
				})
			}
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxPeersAsked)]
}

// knownEra returns the newest era of the store that this instance knows of.
func (s *Sharer) knownEra() identifier.Era {
	if s.Era == nil {
		return 0
	}
	return s.Era()
}

func (s *Sharer) countPeerCopy(outcome string) {
	if s.OnPeerCopy != nil {
		s.OnPeerCopy(outcome)
	}
}
