package quarantiner_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/platform/archiver"
	"heatherhold.dev/router/quarantiner"
)

// archive keeps parts in memory and counts the calls.
type archive struct {
	mu    sync.Mutex
	parts []*messenger.SuspectPart
	loads int
	saves int
	// err is the error of Load, if set.
	err error
}

func (a *archive) Load(context.Context) ([]*messenger.SuspectPart, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.loads++
	return a.parts, a.err
}

func (a *archive) Save(_ context.Context, parts []*messenger.SuspectPart) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.saves++
	a.parts = parts
	return nil
}

// runKeepers runs a keeper at each instance until ctx ends; i4 is the only reader.
func (f *fleet) runKeepers(ctx context.Context, group *errgroup.Group, store *archive, era func() identifier.Era) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, name := range f.names {
		k := &quarantiner.Keeper{
			Quarantiner: f.instances[name],
			Archive:     store,
			Readers:     func() []identifier.Instance { return []identifier.Instance{"i4"} },
			Era:         era,
			Log:         log,
		}
		group.Go(func() error { return k.Run(ctx) })
	}
}

// TestAllInstancesRestarted guards against a condemned part that is sent again after all
// instances were lost, and against each instance calling the store.
func TestAllInstancesRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &archive{}
		run := func(use func(f *fleet)) {
			f := newFleet(9)
			ctx, cancel := context.WithCancel(context.Background())
			var group errgroup.Group
			f.runKeepers(ctx, &group, store, func() identifier.Era { return 1 })
			time.Sleep(time.Second)
			f.now = time.Now()
			f.exchangeAll()
			use(f)
			cancel()
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
		}
		run(func(f *fleet) {
			for range 5 {
				f.crash("i0", bad)
				f.crash("i1", deadly)
			}
			f.exchangeAll()
			time.Sleep(3 * time.Second)
		})
		if store.loads != 1 || store.saves != 1 {
			t.Errorf("got %d reads and %d writes of nine instances, want 1 and 1", store.loads, store.saves)
		}
		run(func(f *fleet) {
			for _, name := range f.names {
				if f.send(name, bad) {
					t.Errorf("%s sent a request with the condemned part after the restart", name)
				}
				if f.send(name, deadly) {
					t.Errorf("%s sent the condemned request after the restart", name)
				}
			}
		})
	})
}

// TestLaterCrashesNotKept guards against a condemned part that is tested too soon after
// the loss of all instances, because the store has only the crashes that condemned it.
func TestLaterCrashesNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.now = time.Now()
		log := logrus.New()
		log.SetOutput(io.Discard)
		store := &archive{}
		k := &quarantiner.Keeper{
			Quarantiner: f.instances["i0"],
			Archive:     store,
			Readers:     func() []identifier.Instance { return f.names },
			Era:         func() identifier.Era { return 1 },
			Log:         log,
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error { return k.Run(ctx) })
		for range 3 {
			f.crash("i0", bad)
		}
		time.Sleep(3 * time.Second)
		f.now = time.Now()
		f.crash("i0", bad)
		f.crash("i0", bad)
		time.Sleep(3 * time.Second)
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		if len(store.parts) != 1 || len(store.parts[0].GetCrashes()) != 5 {
			t.Errorf("got %v kept, want one part with five crashes", store.parts)
		}
	})
}

// runAlone runs the keeper of an instance without peers for some time.
func runAlone(t *testing.T, f *fleet, store *archive, reader identifier.Instance, d time.Duration) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	k := &quarantiner.Keeper{
		Quarantiner: f.instances["i0"],
		Archive:     store,
		Readers:     func() []identifier.Instance { return []identifier.Instance{reader} },
		Era:         func() identifier.Era { return 1 },
		Log:         log,
	}
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	if err := k.Run(ctx); err != nil {
		t.Error(err)
	}
}

// TestStoreAskedAgainDuringOutage guards against calls of each instance to a store that is
// down, twice a second.
func TestStoreAskedAgainDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for reader, want := range map[identifier.Instance]struct{ least, most int }{
			"i0": {
				least: 30,
				most:  61,
			},
			"other": {
				least: 4,
				most:  12,
			},
		} {
			store := &archive{err: errors.New("the store is down")}
			runAlone(t, newFleet(1), store, reader, time.Minute)
			if store.loads < want.least || store.loads > want.most {
				t.Errorf("reader %s: got %d reads of i0 in a minute while the store is down, want %d to %d", reader, store.loads, want.least, want.most)
			}
		}
	})
}

// TestUnreadableArchive guards against an instance that keeps no condemned part any more
// because what is kept is not understood.
func TestUnreadableArchive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.now = time.Now()
		for range 3 {
			f.crash("i0", bad)
		}
		store := &archive{err: errors.Wrap(archiver.ErrUnreadable, "unexpected end")}
		runAlone(t, f, store, "i0", 10*time.Second)
		if store.loads != 1 || len(store.parts) != 1 {
			t.Errorf("got %d reads and %v kept, want one read, and the condemned part", store.loads, store.parts)
		}
	})
}

// TestCondemnedPartLostInRestoredStore guards against a condemned part whose row was lost
// when the store was restored, and that nobody writes again: with the loss of all instances
// it would be sent once more.
func TestCondemnedPartLostInRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &archive{}
		var era atomic.Uint64
		era.Store(1)
		f := newFleet(9)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		f.runKeepers(ctx, &group, store, func() identifier.Era { return identifier.Era(era.Load()) })
		time.Sleep(time.Second)
		f.now = time.Now()
		for range 5 {
			f.crash("i0", bad)
		}
		f.exchangeAll()
		time.Sleep(2 * time.Second)
		store.mu.Lock()
		store.parts = nil
		store.saves = 0
		store.mu.Unlock()
		era.Store(2)
		time.Sleep(2 * time.Second)
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		if got, want := len(store.parts), 1; got != want {
			t.Errorf("parts in the restored store: got %d, want %d", got, want)
		}
		if got, want := store.saves, 1; got != want {
			t.Errorf("writes of nine instances: got %d, want %d", got, want)
		}
	})
}
