package sharer_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/platform/storer"
	"heatherhold.dev/platform/subscriber"
	"heatherhold.dev/router/assigner"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/sharer"
)

const (
	tableName = "endpoints"
	// pollWait is how long the store holds a question of a reader.
	pollWait = time.Second
	// newsAge is how old the news may be that instances pass on.
	newsAge      = 2*pollWait + 700*time.Millisecond
	storeLatency = 4 * time.Millisecond
	peerLatency  = time.Millisecond
	retryPause   = 200 * time.Millisecond
	minInterval  = 250 * time.Millisecond
)

// write is one committed change of the store's table.
type write struct {
	at  time.Time
	row positionedRow
}

// positionedRow is a row and the era of its version.
type positionedRow struct {
	storer.Row
	era identifier.Era
}

func (r positionedRow) position() storer.Position {
	return storer.Position{
		Era:     r.era,
		Version: r.Version,
	}
}

// fakeStore is a store with one table.
type fakeStore struct {
	mu      sync.Mutex
	era     identifier.Era
	version storer.Version
	writes  []write
	// floor is the version below which the history is dropped.
	floor   storer.Version
	changed chan struct{}
	calls   map[identifier.Instance]int
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		era:     1,
		changed: make(chan struct{}),
		calls:   make(map[identifier.Instance]int),
	}
}

// commit changes or deletes a row.
func (s *fakeStore) commit(key string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.writes = append(s.writes, write{
		at: time.Now(),
		row: positionedRow{
			Row: storer.Row{
				Table:   tableName,
				Key:     key,
				Version: s.version,
				Deleted: deleted,
			},
			era: s.era,
		},
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore brings the store back as it was some time ago: later writes are lost and their
// versions are given out again. Questions that are held open break off.
func (s *fakeStore) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-age)
	s.era++
	s.writes = slices.DeleteFunc(s.writes, func(w write) bool { return w.at.After(at) })
	s.version = 0
	for i := range s.writes {
		s.version = max(s.version, s.writes[i].row.Version)
		s.writes[i].row.era = s.era
	}
	s.floor = min(s.floor, s.version)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = s.version
}

// latest returns the last write of each key that was committed until t.
func (s *fakeStore) latest(t time.Time) map[string]positionedRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]positionedRow)
	for _, w := range s.writes {
		if !w.at.After(t) {
			out[w.row.Key] = w.row
		}
	}
	return out
}

// totalCalls returns the number of calls so far.
func (s *fakeStore) totalCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.calls {
		n += c
	}
	return n
}

// fleet is a store and the instances before it.
type fleet struct {
	store     *fakeStore
	instances []*instance

	mu sync.Mutex
	// storeDown is set while the store answers nobody; noStore has the instances that
	// it does not answer, noPeers those that reach no other instance.
	storeDown bool
	noStore   map[identifier.Instance]bool
	noPeers   map[identifier.Instance]bool
	// paused has the instances whose process does not run.
	paused map[identifier.Instance]bool
}

// instance is one instance that follows the table.
type instance struct {
	fleet     *fleet
	name      identifier.Instance
	sharer    *sharer.Sharer
	publisher *publisher.Publisher

	mu    sync.Mutex
	known map[string]positionedRow
	// whole is the position of the last whole table.
	whole  storer.Position
	faults []string
}

// newFleet returns a fleet of n instances in the given number of sites, all live.
func newFleet(n, sites int) *fleet {
	f := &fleet{
		store:   newFakeStore(),
		noStore: make(map[identifier.Instance]bool),
		noPeers: make(map[identifier.Instance]bool),
		paused:  make(map[identifier.Instance]bool),
	}
	var candidates []assigner.Candidate
	peers := make(map[identifier.Instance]string)
	for i := range n {
		name := identifier.Instance(fmt.Sprintf("r%04d", i))
		candidates = append(candidates, assigner.Candidate{
			Instance: name,
			Site:     identifier.Site(fmt.Sprintf("site%d", i%sites)),
		})
		peers[name] = string(name)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, c := range candidates {
		i := &instance{
			fleet:     f,
			name:      c.Instance,
			publisher: publisher.New(),
			known:     make(map[string]positionedRow),
		}
		i.publisher.Publish(&publisher.View{
			Readers: assigner.Readers(c.Site, candidates),
			Peers:   peers,
		})
		i.sharer = &sharer.Sharer{
			Self:      c.Instance,
			Store:     i,
			Peers:     i,
			Publisher: i.publisher,
			MaxAge:    map[string]time.Duration{tableName: newsAge},
			Log:       log,
		}
		f.instances = append(f.instances, i)
	}
	return f
}

// run follows the table at all instances until ctx ends.
func (f *fleet) run(ctx context.Context, group *errgroup.Group) {
	for _, i := range f.instances {
		group.Go(func() error {
			i.follow(ctx)
			return nil
		})
	}
}

// set changes the faults.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) storeReachable(i identifier.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.storeDown && !f.noStore[i]
}

// resumeCheck is how often a paused instance looks whether it runs again.
const resumeCheck = 10 * time.Millisecond

// awaitResume returns once the instance is not paused.
func (f *fleet) awaitResume(i identifier.Instance) {
	for f.isPaused(i) {
		time.Sleep(resumeCheck)
	}
}

func (f *fleet) isPaused(i identifier.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paused[i]
}

func (f *fleet) connected(a, b identifier.Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.noPeers[a] && !f.noPeers[b]
}

// follow reads the table and its changes and checks each.
func (i *instance) follow(ctx context.Context) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &subscriber.Subscriber[string]{
		Store:        pageRecorder{instance: i},
		Table:        tableName,
		LongPollWait: pollWait,
		MinInterval:  minInterval,
		Decode:       func(key string, _ []byte) (string, error) { return key, nil },
		Log:          log,
	}
	for ctx.Err() == nil {
		change, err := s.Next(ctx)
		if err != nil {
			time.Sleep(retryPause)
			continue
		}
		i.checkFresh(change.RequestedAt)
	}
}

// pageRecorder records the pages that an instance reads: the subscriber's changes carry
// no versions.
type pageRecorder struct {
	instance *instance
}

// Rows records a whole table.
func (r pageRecorder) Rows(ctx context.Context, table string) (storer.Page, error) {
	p, err := r.instance.sharer.Rows(ctx, table)
	if err == nil {
		r.instance.record(p, true)
	}
	return p, err
}

// Feed records changes.
func (r pageRecorder) Feed(ctx context.Context, table string, after storer.Position, wait time.Duration) (storer.Page, error) {
	p, err := r.instance.sharer.Feed(ctx, table, after, wait)
	if err == nil {
		r.instance.record(p, false)
	}
	return p, err
}

// record takes in a page; a row must not go back to an older version.
func (i *instance) record(p storer.Page, whole bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	listed := make(map[string]bool)
	for _, r := range p.Rows {
		listed[r.Key] = true
		row := positionedRow{
			Row: r,
			era: p.Era,
		}
		if old := i.known[r.Key]; row.position().Before(old.position()) {
			i.faults = append(i.faults, fmt.Sprintf("%s: row %s went back from %v to %v", i.name, r.Key, old.position(), row.position()))
		}
		i.known[r.Key] = row
	}
	if !whole {
		return
	}
	i.whole = p.Position()
	for key, old := range i.known {
		if listed[key] || old.Deleted {
			continue
		}
		if p.Position().Before(old.position()) {
			i.faults = append(i.faults, fmt.Sprintf("%s: row %s of %v is missing in %v", i.name, key, old.position(), p.Position()))
		}
		old.Deleted = true
		old.Version = p.Version
		old.era = p.Era
		i.known[key] = old
	}
}

// checkFresh requires that the instance knows every write until t.
func (i *instance) checkFresh(t time.Time) {
	latest := i.fleet.store.latest(t)
	i.mu.Lock()
	defer i.mu.Unlock()
	for key, want := range latest {
		got := i.known[key].position()
		// A row that a whole table lacks has been deleted.
		if got.Before(i.whole) {
			got = i.whole
		}
		if got.Era == want.era && got.Before(want.position()) {
			i.faults = append(i.faults, fmt.Sprintf("%s: news said to be of %v lacks %v of row %s, got %v", i.name, time.Since(t), want.position(), key, got))
		}
	}
}

// upToDate reports whether the instance knows the store's present rows.
func (i *instance) upToDate() bool {
	latest := i.fleet.store.latest(time.Now())
	i.mu.Lock()
	defer i.mu.Unlock()
	for key, want := range latest {
		got := i.known[key]
		gotDeleted := got.Deleted || got.Version == 0
		if gotDeleted != want.Deleted || !gotDeleted && got.Version != want.Version {
			return false
		}
	}
	for key, got := range i.known {
		if _, ok := latest[key]; !ok && !got.Deleted {
			return false
		}
	}
	return true
}

var errDown = errors.New("the store is down")

// Rows is the instance's own call of the store.
func (i *instance) Rows(ctx context.Context, _ string) (storer.Page, error) {
	return i.callStore(ctx, storer.Position{}, 0, true)
}

// Feed is the instance's own call of the store.
func (i *instance) Feed(ctx context.Context, _ string, after storer.Position, wait time.Duration) (storer.Page, error) {
	return i.callStore(ctx, after, wait, false)
}

// callStore calls the store. An instance that is paused meanwhile gets the answer
// when it runs again.
func (i *instance) callStore(ctx context.Context, after storer.Position, wait time.Duration, whole bool) (storer.Page, error) {
	defer i.fleet.awaitResume(i.name)
	i.fleet.awaitResume(i.name)
	s := i.fleet.store
	s.mu.Lock()
	s.calls[i.name]++
	s.mu.Unlock()
	deadline := time.After(wait)
	for {
		time.Sleep(storeLatency)
		if !i.fleet.storeReachable(i.name) {
			return storer.Page{}, errDown
		}
		page, changed, err := s.page(after, whole)
		if err != nil || whole || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return storer.Page{}, ctx.Err()
		case <-deadline:
			return page, nil
		case <-changed:
		}
	}
}

// page returns the rows of the table, or the changes after a version.
func (s *fakeStore) page(after storer.Position, whole bool) (storer.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !whole && (after.Era != s.era || after.Version < s.floor) {
		return storer.Page{}, nil, storer.ErrHistoryDropped
	}
	page := storer.Page{
		Version: s.version,
		Era:     s.era,
	}
	latest := make(map[string]storer.Row)
	for _, w := range s.writes {
		latest[w.row.Key] = w.row.Row
	}
	for _, r := range latest {
		if whole && !r.Deleted || !whole && r.Version > after.Version {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, s.changed, nil
}

// Read asks another instance; the connection hangs while either end is cut off or
// paused. The request arrives twice; the second reply is lost.
func (i *instance) Read(ctx context.Context, address string, r *messenger.ReadRequest) (*messenger.ReadReply, error) {
	defer i.fleet.awaitResume(i.name)
	i.fleet.awaitResume(i.name)
	time.Sleep(peerLatency)
	for _, other := range i.fleet.instances {
		if string(other.name) != address {
			continue
		}
		if !i.fleet.connected(i.name, other.name) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		i.fleet.awaitResume(other.name)
		reply := other.sharer.Handle(ctx, r)
		i.fleet.awaitResume(other.name)
		other.sharer.Handle(ctx, &messenger.ReadRequest{Table: r.GetTable()})
		time.Sleep(peerLatency)
		if ctx.Err() != nil || !i.fleet.connected(i.name, other.name) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return reply, nil
	}
	return nil, errors.Errorf("no instance at %s", address)
}

// check reports the faults of all instances.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	for _, i := range f.instances {
		i.mu.Lock()
		for _, fault := range i.faults {
			t.Error(fault)
		}
		i.mu.Unlock()
	}
}
