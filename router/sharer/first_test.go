package sharer_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/platform/storer"
	"heatherhold.dev/platform/subscriber"
	"heatherhold.dev/router/assigner"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/sharer"
)

// switchedStore is a store of one table that can be unavailable or slow.
type switchedStore struct {
	mu      sync.Mutex
	down    bool
	latency time.Duration
	page    storer.Page
	feeds   []storer.Position
}

// Rows returns the table.
func (s *switchedStore) Rows(ctx context.Context, _ string) (storer.Page, error) {
	s.mu.Lock()
	latency, down, page := s.latency, s.down, s.page
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return storer.Page{}, ctx.Err()
	case <-time.After(latency):
	}
	if down {
		return storer.Page{}, errDown
	}
	return page, nil
}

// Feed returns the rows that changed after a version.
func (s *switchedStore) Feed(_ context.Context, _ string, after storer.Position, _ time.Duration) (storer.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feeds = append(s.feeds, after)
	if s.down {
		return storer.Page{}, errDown
	}
	page := s.page
	page.Rows = nil
	for _, r := range s.page.Rows {
		if r.Version > after.Version {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, nil
}

func (s *switchedStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// handlers answers reads by address, as fakes or real instances.
type handlers struct {
	mu       sync.Mutex
	byName   map[string]func(context.Context, *messenger.ReadRequest) (*messenger.ReadReply, error)
	open     int
	mostOpen int
	asked    int
}

// Read asks the instance at an address.
func (h *handlers) Read(ctx context.Context, address string, r *messenger.ReadRequest) (*messenger.ReadReply, error) {
	h.mu.Lock()
	h.open++
	h.asked++
	h.mostOpen = max(h.mostOpen, h.open)
	handle, ok := h.byName[address]
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.open--
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(peerLatency):
	}
	if !ok {
		return nil, errors.Errorf("no instance at %s", address)
	}
	return handle(ctx, r)
}

func (h *handlers) set(address string, handle func(context.Context, *messenger.ReadRequest) (*messenger.ReadReply, error)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byName == nil {
		h.byName = make(map[string]func(context.Context, *messenger.ReadRequest) (*messenger.ReadReply, error))
	}
	h.byName[address] = handle
}

// replying returns a handler that always gives the same reply.
func replying(reply *messenger.ReadReply) func(context.Context, *messenger.ReadRequest) (*messenger.ReadReply, error) {
	return func(context.Context, *messenger.ReadRequest) (*messenger.ReadReply, error) { return reply, nil }
}

// silent never answers.
func silent(ctx context.Context, _ *messenger.ReadRequest) (*messenger.ReadReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// copyAt returns a copy with one row at a point in the store's history.
func copyAt(era, version uint64) *messenger.ReadReply {
	return &messenger.ReadReply{
		Era:     era,
		Version: version,
		AgeMs:   5000,
		Rows: []*messenger.TableRow{{
			Key:     "e1",
			Version: 1,
		}},
	}
}

// outcomes counts the outcomes of questions for copies.
type outcomes struct {
	mu     sync.Mutex
	counts map[string]int
}

func (o *outcomes) count(outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = make(map[string]int)
	}
	o.counts[outcome]++
}

// newStarting returns a sharer that holds nothing and knows the members.
func newStarting(store sharer.Store, peers sharer.Peers, members ...identifier.Instance) (*sharer.Sharer, *outcomes) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	pub := publisher.New()
	addresses := make(map[identifier.Instance]string)
	for _, m := range members {
		addresses[m] = string(m)
	}
	pub.Publish(&publisher.View{Peers: addresses})
	o := &outcomes{}
	return &sharer.Sharer{
		Self:           "self",
		Address:        "self",
		Store:          store,
		Peers:          peers,
		Publisher:      pub,
		MaxAge:         map[string]time.Duration{tableName: newsAge},
		FirstFromPeers: map[string]bool{tableName: true},
		OnPeerCopy:     o.count,
		Log:            log,
	}, o
}

// TestHalfOfFleetRestartsInOutage guards against instances that stay without a list until the store
// is back, when half of the fleet restarts during its outage.
func TestHalfOfFleetRestartsInOutage(t *testing.T) {
	const (
		instances = 83
		restarted = 50
		sites     = 3
	)
	synctest.Test(t, func(t *testing.T) {
		store := &switchedStore{page: storer.Page{
			Era:     1,
			Version: 7,
			Rows:    []storer.Row{{Key: "e1", Version: 5}, {Key: "e2", Version: 7}},
		}}
		network := &handlers{}
		var candidates []assigner.Candidate
		var names []identifier.Instance
		for i := range instances {
			names = append(names, identifier.Instance(fmt.Sprintf("r%02d", i)))
			candidates = append(candidates, assigner.Candidate{
				Instance: names[i],
				Site:     identifier.Site(fmt.Sprintf("site%d", i%sites)),
			})
		}
		begin := func(i int) *sharer.Sharer {
			s, _ := newStarting(store, network, names...)
			s.Self = names[i]
			v := *s.Publisher.View()
			v.Readers = assigner.Readers(candidates[i].Site, candidates)
			s.Publisher.Publish(&v)
			network.set(string(names[i]), func(ctx context.Context, r *messenger.ReadRequest) (*messenger.ReadReply, error) {
				return s.Handle(ctx, r), nil
			})
			return s
		}
		for i := range instances {
			if _, err := begin(i).Rows(t.Context(), tableName); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Minute)
		store.set(func() { store.down = true })
		var group errgroup.Group
		var sharers []*sharer.Sharer
		for i := range restarted {
			sharers = append(sharers, begin(i))
		}
		for _, s := range sharers {
			group.Go(func() error {
				began := time.Now()
				for {
					page, err := s.Rows(t.Context(), tableName)
					if err != nil {
						time.Sleep(retryPause)
						continue
					}
					if got, most := time.Since(began), 2*time.Second; got > most {
						t.Errorf("%s: time until the list: got %v, want at most %v", s.Self, got, most)
					}
					if page.Version != 7 || len(page.Rows) != 2 || time.Since(page.ReadAt) < time.Minute {
						t.Errorf("%s: got version %d with %d rows, %v old; want 7 with 2, over a minute old", s.Self, page.Version, len(page.Rows), time.Since(page.ReadAt))
					}
					return nil
				}
			})
		}
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// TestPeerWithOlderEraBelieved guards against a list that goes back to a history which a restored
// store no longer has.
func TestPeerWithOlderEraBelieved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &handlers{}
		network.set("old", replying(copyAt(1, 90)))
		s, o := newStarting(&switchedStore{down: true}, network, "old")
		s.Era = func() identifier.Era { return 2 }
		if page, err := s.Rows(t.Context(), tableName); err == nil {
			t.Errorf("got a list of era %d, want an error", page.Era)
		}
		if got, want := o.counts["older"], 1; got != want {
			t.Errorf("replies of an older era: got %d, want %d", got, want)
		}
		network.set("old", replying(copyAt(2, 3)))
		if _, err := s.Rows(t.Context(), tableName); err != nil {
			t.Errorf("list of the era that is known: got %v, want no error", err)
		}
	})
}

// TestPeersWithoutCopyHoldStartUp guards against an instance that waits for peers which are silent,
// have no copy, send what can't be right, or are of a build that passes on recent copies only.
func TestPeersWithoutCopyHoldStartUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &handlers{}
		members := []identifier.Instance{"good"}
		network.set("good", replying(copyAt(1, 9)))
		for name, handle := range map[identifier.Instance]func(context.Context, *messenger.ReadRequest) (*messenger.ReadReply, error){
			"silent1": silent,
			"silent2": silent,
			"silent3": silent,
			"silent4": silent,
			"older":   replying(&messenger.ReadReply{Unavailable: true}),
			"empty":   replying(&messenger.ReadReply{Version: 9}),
			"invalid": replying(&messenger.ReadReply{AgeMs: -1}),
			"dropped": replying(&messenger.ReadReply{HistoryDropped: true}),
		} {
			members = append(members, name)
			network.set(string(name), handle)
		}
		for range 20 {
			s, _ := newStarting(&switchedStore{down: true}, network, members...)
			began := time.Now()
			page, err := s.Rows(t.Context(), tableName)
			if err != nil || page.Version != 9 {
				t.Fatalf("got version %d and error %v, want 9 and none", page.Version, err)
			}
			if got, most := time.Since(began), 1200*time.Millisecond; got > most {
				t.Errorf("time until the list: got %v, want at most %v", got, most)
			}
			// The questions that the first copy made needless have been cancelled and end now.
			synctest.Wait()
		}
		if got, most := network.mostOpen, 3; got > most {
			t.Errorf("instances asked at the same time: got %d, want at most %d", got, most)
		}
	})
}

// TestInvalidRowsSpoilCopy guards against a copy that is lost for a few rows that can't be right, and
// against such rows hiding later changes.
func TestInvalidRowsSpoilCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reply := copyAt(1, 9)
		reply.Rows = append(reply.Rows, &messenger.TableRow{Key: "later", Version: 10}, &messenger.TableRow{Key: "gone", Version: 2, Deleted: true}, &messenger.TableRow{Version: 2})
		network := &handlers{}
		network.set("peer", replying(reply))
		s, _ := newStarting(&switchedStore{down: true}, network, "peer")
		log, hook := test.NewNullLogger()
		s.Log = log
		page, err := s.Rows(t.Context(), tableName)
		if err != nil || len(page.Rows) != 1 || page.Rows[0].Key != "e1" {
			t.Errorf("got rows %v and error %v, want e1 only", page.Rows, err)
		}
		if got, want := len(hook.AllEntries()), 2; got != want {
			t.Errorf("log lines: got %d, want %d", got, want)
		}
	})
}

// TestCopyOfAnyAgePassedOnAsNews guards against an old copy that others take for recent news, and
// requires that it is passed on to those that accept any age, with its age.
func TestCopyOfAnyAgePassedOnAsNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &handlers{}
		network.set("peer", replying(copyAt(1, 9)))
		s, _ := newStarting(&switchedStore{down: true}, network, "peer")
		if _, err := s.Rows(t.Context(), tableName); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		r := &messenger.ReadRequest{
			Table: tableName,
			Whole: true,
		}
		if reply := s.Handle(t.Context(), r); !reply.GetUnavailable() {
			t.Errorf("got a reply %d ms old, want none", reply.GetAgeMs())
		}
		r.AnyAge = true
		if reply := s.Handle(t.Context(), r); reply.GetUnavailable() || reply.GetAgeMs() < 6000 || len(reply.GetRows()) != 1 {
			t.Errorf("accepting any age: got %v, want one row, at least 6 s old", reply)
		}
		asked := network.asked
		if _, err := s.Rows(t.Context(), tableName); err == nil {
			t.Error("second read while the store is unavailable: got no error, want one")
		}
		if got, want := network.asked, asked; got != want {
			t.Errorf("questions with a copy at hand: got %d, want %d", got, want)
		}
	})
}

// TestSlowStoreDelaysStart guards against an instance that waits for a slow store although its peers
// know the list, that takes the call which it gave up for a failure, or that reads the whole
// table again instead of the changes since the peer's copy.
func TestSlowStoreDelaysStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &switchedStore{
			latency: 5 * time.Second,
			page: storer.Page{
				Era:     1,
				Version: 12,
				Rows:    []storer.Row{{Key: "e1", Version: 1}, {Key: "e2", Version: 12}, {Key: "e3", Version: 11, Deleted: true}},
			},
		}
		network := &handlers{}
		network.set("peer", replying(copyAt(1, 9)))
		s, _ := newStarting(store, network, "peer")
		failures := 0
		s.OnRead = func(_, _ string, err error) {
			if err != nil {
				failures++
			}
		}
		sub := &subscriber.Subscriber[string]{
			Store:  s,
			Table:  tableName,
			Decode: func(key string, _ []byte) (string, error) { return key, nil },
			Log:    s.Log,
		}
		began := time.Now()
		first, err := sub.Next(t.Context())
		if err != nil || !first.Complete || first.Position.Version != 9 {
			t.Fatalf("got version %d (complete: %v) and error %v, want the whole list at 9", first.Position.Version, first.Complete, err)
		}
		if got, most := time.Since(began), 500*time.Millisecond; got > most {
			t.Errorf("time until the list: got %v, want at most %v", got, most)
		}
		next, err := sub.Next(t.Context())
		if err != nil || next.Complete || next.Position.Version != 12 || len(next.Set) != 1 || len(next.Removed) != 1 {
			t.Errorf("got %+v and error %v, want the changes from 9 to 12", next, err)
		}
		if failures > 0 {
			t.Errorf("failed reads: got %d, want 0", failures)
		}
	})
}

// TestSeedsNotAsked guards against a starting instance that knows no member yet, because its view
// is not published, and asks nobody.
func TestSeedsNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &handlers{}
		network.set("seed", replying(copyAt(1, 9)))
		s, _ := newStarting(&switchedStore{down: true}, network)
		s.Seeds = []string{"self", "lost", "seed"}
		if _, err := s.Rows(t.Context(), tableName); err != nil {
			t.Errorf("got %v, want no error", err)
		}
	})
}

// TestNobodyHasList guards against instances that flood each other with questions after the loss of
// all of them, and against an error that hides the store's.
func TestNobodyHasList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &handlers{}
		var members []identifier.Instance
		for i := range 200 {
			members = append(members, identifier.Instance(fmt.Sprintf("r%d", i)))
			network.set(string(members[i]), replying(&messenger.ReadReply{Unavailable: true}))
		}
		s, _ := newStarting(&switchedStore{down: true}, network, members...)
		if _, err := s.Rows(t.Context(), tableName); !errors.Is(err, errDown) {
			t.Errorf("got %v, want %v", err, errDown)
		}
		if got, most := network.asked, 12; got > most {
			t.Errorf("instances asked in one read: got %d, want at most %d", got, most)
		}
	})
}

// FuzzPeerCopy starts from an instance that sends any reply: what is taken from it has rows of its
// own past only, and can be passed on.
func FuzzPeerCopy(f *testing.F) {
	for _, r := range []*messenger.ReadReply{
		copyAt(1, 9),
		copyAt(1<<40, 9),
		{Version: 3, AgeMs: 1 << 40, Rows: []*messenger.TableRow{{Key: "e1", Version: 4}}},
		{HistoryDropped: true},
	} {
		data, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		reply := &messenger.ReadReply{}
		if proto.Unmarshal(data, reply) != nil {
			t.Skip("not a message")
		}
		s, _ := newStarting(downStore{}, fixedPeer{reply: reply}, "peer")
		page, err := s.Rows(t.Context(), tableName)
		if err != nil {
			return
		}
		if page.ReadAt.After(time.Now()) {
			t.Errorf("copy read at %v, want the past", page.ReadAt)
		}
		for _, r := range page.Rows {
			if r.Version > page.Version || r.Deleted {
				t.Errorf("row %+v of a copy at version %d", r, page.Version)
			}
		}
		passed := s.Handle(t.Context(), &messenger.ReadRequest{
			Table:  tableName,
			Whole:  true,
			AnyAge: true,
		})
		if passed.GetUnavailable() || passed.GetVersion() != uint64(page.Version) || passed.GetEra() != uint64(page.Era) {
			t.Errorf("passed on: got %v, want a copy at version %d", passed, page.Version)
		}
	})
}
