package controller

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/executor"
)

const (
	// registrationIntervals is how many readings of the registry an entry may be missing
	// from after it was written: what is read may be another instance's older copy.
	registrationIntervals = 3
	// firstReadings is how many readings of the registry follow each other after a pause of
	// firstReadingPause. The second one has those that entered themselves while this instance
	// did.
	firstReadings     = 2
	firstReadingPause = 500 * time.Millisecond
	// firstProbes is how many instances are asked after each of the first readings whether
	// they run, and laterProbes after each further one.
	firstProbes = 256
	laterProbes = 8
	// maxParallelProbes is how many are asked at once.
	maxParallelProbes = 32
	// discoveryWait is how long a starting instance waits for the answers before it
	// believes to know the others, and discoveryLimit how long in all.
	discoveryWait  = 150 * time.Millisecond
	discoveryLimit = 300 * time.Millisecond
	// revisionPoll is the time between two checks for a configuration.
	revisionPoll = 5 * time.Millisecond
)

// registry is what the instance keeps of the registry. Only the goroutine that reads the
// registry accesses it.
type registry struct {
	// registeredAt is when the instance was last entered, and registered the position in the
	// history of the platform's store at which that was. Others may read registered.
	registeredAt time.Time
	registered   atomic.Pointer[identifier.Position]
	// rows and silentCount are the numbers of all rows, and of those of no member, in the last
	// reading. Others may read them.
	rows        atomic.Int64
	silentCount atomic.Int64
	// silent has the rows of those that are no members.
	silent silentRows
	// readings is the number of readings.
	readings int
	// probed is how many of the rows of silent instances were asked since the last time
	// that all of them had been.
	probed int
}

// runRegistry keeps this instance in the registry and looks for the others in it until ctx
// ends.
func (c *Controller) runRegistry(ctx context.Context) error {
	for {
		c.syncRegistry(ctx)
		interval := c.Settings.Platform.ListInterval.Std()
		if c.registry.readings < firstReadings {
			interval = min(interval, firstReadingPause)
		}
		if !sleep(ctx, jitter(interval)) {
			return nil
		}
	}
}

// mustRegister reports whether this instance's entry must be written: it is missing from
// the registry, was not written recently or was lost since with the store's last seconds,
// and the instance is not stopping.
func (c *Controller) mustRegister(listed []messenger.RegisteredInstance, era identifier.Era) bool {
	own := c.ownListing()
	if c.Publisher.Stopping() || slices.ContainsFunc(listed, func(l messenger.RegisteredInstance) bool { return l.ListedInstance == own }) {
		return false
	}
	r := &c.registry
	return era > r.position().Era || time.Since(r.registeredAt) >= registrationIntervals*c.Settings.Platform.ListInterval.Std()
}

// register enters this instance in the registry.
func (c *Controller) register(ctx context.Context) {
	written, err := c.Source.Registry.Register(ctx, c.ownListing())
	if err != nil {
		c.Log.WithError(err).Warn("instance not entered in the registry; it is tried again")
		return
	}
	c.registry.registeredAt = time.Now()
	c.registry.registered.Store(&written)
}

// position returns where the instance was last entered; zero if it never was.
func (r *registry) position() identifier.Position {
	if p := r.registered.Load(); p != nil {
		return *p
	}
	return identifier.Position{}
}

// syncRegistry reads the registry of instances, and enters this instance if it must. It asks
// those that it has not heard from whether they run: a row is no sign of life.
func (c *Controller) syncRegistry(ctx context.Context) {
	listed, era, err := c.Source.Registry.List(ctx)
	if err != nil {
		c.Log.WithError(err).Debug("registry of instances not read")
		return
	}
	if c.registry.readings == 0 {
		c.succeedOwnRow(ctx, listed)
	}
	if c.mustRegister(listed, era) {
		c.register(ctx)
	}
	c.Loop.Post(func() {
		c.update(func(now time.Time) { c.state.UpdateListed(now, nil) })
	})
	unheard, err := executor.Get(ctx, c.Loop, func() []messenger.RegisteredInstance { return c.unheard(listed) })
	if err != nil {
		return
	}
	c.registry.rows.Store(int64(len(listed)))
	c.registry.silentCount.Store(int64(len(unheard)))
	c.registry.readings++
	switch {
	case c.registry.readings == 1:
		c.discover(ctx, unheard)
	case c.registry.readings <= firstReadings:
		c.probe(ctx, unheard[:min(len(unheard), firstProbes)])
	default:
		c.probe(ctx, c.nextProbes(unheard))
		c.sweep(ctx, era, unheard)
	}
}

// succeedOwnRow makes this instance's incarnation higher than that of its row, which a process
// before this one has written.
func (c *Controller) succeedOwnRow(ctx context.Context, listed []messenger.RegisteredInstance) {
	for _, l := range listed {
		if l.Name != string(c.Settings.Instance) {
			continue
		}
		// An error means that the control loop has ended.
		_ = c.Loop.Do(ctx, func() { c.update(func(time.Time) { c.state.Succeed(l.Incarnation) }) })
	}
}

// RegistryRows returns how many rows the registry had when it was last read, and how many of
// them are of instances that are not known to run.
func (c *Controller) RegistryRows() (all, silent int) {
	return int(c.registry.rows.Load()), int(c.registry.silentCount.Load())
}

// unheard returns the registered instances that are no members. It runs on the control loop.
func (c *Controller) unheard(listed []messenger.RegisteredInstance) []messenger.RegisteredInstance {
	var out []messenger.RegisteredInstance
	for _, l := range listed {
		if l.Name != string(c.Settings.Instance) && !c.state.Heard(l.Name) {
			out = append(out, l)
		}
	}
	return out
}

// discover asks the registered instances whether they run. It ends the discovery when they
// have answered, or after discoveryWait. It waits for a configuration first, since they would all
// send theirs to an instance that has none.
func (c *Controller) discover(ctx context.Context, unheard []messenger.RegisteredInstance) {
	c.awaitRevision(ctx)
	timer := time.AfterFunc(discoveryWait, c.endDiscovery)
	defer timer.Stop()
	c.probe(ctx, unheard[:min(len(unheard), firstProbes)])
	c.endDiscovery()
}

// awaitRevision returns once a configuration is in force, or the instance has run for
// discoveryLimit.
func (c *Controller) awaitRevision(ctx context.Context) {
	for time.Since(c.state.StartedAt) < discoveryLimit {
		revision, err := executor.Get(ctx, c.Loop, c.state.Revision)
		if err != nil || revision > 0 || !sleep(ctx, revisionPoll) {
			return
		}
	}
}

// endDiscovery publishes the state: the instances that answered are known.
func (c *Controller) endDiscovery() {
	c.Loop.Post(func() {
		if !c.discovered {
			c.discovered = true
			c.publishedChangeCount = 0
			c.publish()
		}
	})
}

// nextProbes returns the instances that are asked after a later reading: some that registered
// last, and some of the others in turn.
func (c *Controller) nextProbes(unheard []messenger.RegisteredInstance) []messenger.RegisteredInstance {
	if len(unheard) <= laterProbes {
		return unheard
	}
	const latest = laterProbes / 2
	next := slices.Clone(unheard[:latest])
	rest := unheard[latest:]
	for range laterProbes - latest {
		next = append(next, rest[c.registry.probed%len(rest)])
		c.registry.probed++
	}
	return next
}

// probe exchanges with instances, as many at once as maxParallelProbes. Those that answer
// are members from then on.
func (c *Controller) probe(ctx context.Context, instances []messenger.RegisteredInstance) {
	var group errgroup.Group
	group.SetLimit(maxParallelProbes)
	for _, l := range instances {
		group.Go(func() error {
			heard, err := executor.Get(ctx, c.Loop, func() bool { return c.state.Heard(l.Name) })
			if heard || err != nil {
				return nil
			}
			if _, err := c.Exchange(ctx, &messenger.Member{Instance: l.Name, Address: l.Address}); err != nil {
				c.Log.WithError(err).WithField("peer", l.Name).WithField("address", l.Address).Debug("registered instance does not answer")
			}
			return nil
		})
	}
	// No function returns an error: who does not answer is asked again later.
	_ = group.Wait()
}
