package quarantiner

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/platform/archiver"
	"heatherhold.dev/router/assigner"
)

const (
	// keepInterval is how often a Keeper compares what is known with what is kept.
	keepInterval = 500 * time.Millisecond
	// peerWait is how long a new instance waits for peers that know what is kept before it
	// reads that itself.
	peerWait = 2 * time.Second
	// minLoadPause is the pause after a failed read of the archive. It doubles with each
	// further failure, up to maxLoadPause or, at the first reader of a site, from which the
	// others learn what is kept, maxReaderPause.
	minLoadPause   = 500 * time.Millisecond
	maxLoadPause   = 10 * time.Second
	maxReaderPause = time.Second
)

// keeperPool is the name under which the instance that writes is chosen.
const keeperPool = identifier.Service("quarantine-keeper\x00")

// Archive keeps condemned parts where the loss of all instances does not reach. Load
// returns archiver.ErrUnreadable if what is kept is not understood.
type Archive interface {
	Load(ctx context.Context) ([]*messenger.SuspectPart, error)
	Save(ctx context.Context, parts []*messenger.SuspectPart) error
}

// Keeper keeps the condemned parts in an archive, and reads them from it after a start.
// Set the exported fields before Run.
type Keeper struct {
	Quarantiner *Quarantiner
	Archive     Archive
	// Readers returns the instances that read the platform's store.
	Readers func() []identifier.Instance
	// Era returns the era of the archive, which is greater once the archive has lost what was
	// last written.
	Era func() identifier.Era
	Log logrus.FieldLogger

	// saved is the evidence that was last written, and savedEra the archive's era before
	// that.
	saved    []string
	savedEra identifier.Era
	// loadAfter is the time from which the archive may be read again after a failure, and
	// loadPause the last pause.
	loadAfter time.Time
	loadPause time.Duration
}

// Run keeps the archive up to date until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	started := time.Now()
	t := time.NewTicker(keepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			k.load(ctx, now, now.Sub(started) > peerWait)
			k.save(ctx, now)
		}
	}
}

// load reads the archive unless what it holds is known. If alone is not set, only the
// first reader of the instance's site does; the others learn it from peers.
func (k *Keeper) load(ctx context.Context, now time.Time, alone bool) {
	q := k.Quarantiner
	if q.Complete() || now.Before(k.loadAfter) {
		return
	}
	readers := k.Readers()
	reader := len(readers) > 0 && readers[0] == q.Self
	if !alone && !reader {
		return
	}
	parts, err := k.Archive.Load(ctx)
	if errors.Is(err, archiver.ErrUnreadable) {
		k.Log.WithError(err).Error("condemned parts in the store not understood; they are replaced")
		err = nil
	}
	if err != nil {
		k.Log.WithError(err).Warn("condemned parts not read from the store")
		longest := maxLoadPause
		if reader {
			longest = maxReaderPause
		}
		k.loadPause = min(max(2*k.loadPause, minLoadPause), longest)
		k.loadAfter = now.Add(k.loadPause)
		return
	}
	q.Restore(now, parts)
}

// save writes the condemned parts if they changed, or may have been lost, and this
// instance is the one to write them.
func (k *Keeper) save(ctx context.Context, now time.Time) {
	q := k.Quarantiner
	if !q.Complete() {
		return
	}
	parts := q.Condemned(now)
	evidence := evidenceOf(parts)
	era := k.Era()
	if era != k.savedEra {
		k.saved = nil
	}
	if slices.Equal(evidence, k.saved) {
		return
	}
	if writer, _ := assigner.Owner(keeperPool, q.Live()); writer != q.Self {
		return
	}
	if err := k.Archive.Save(ctx, parts); err != nil {
		k.Log.WithError(err).Warn("condemned parts not written to the store")
		return
	}
	k.saved = evidence
	k.savedEra = era
}

// evidenceOf returns the parts and the endpoints that crashed under each, sorted.
func evidenceOf(parts []*messenger.SuspectPart) []string {
	var out []string
	for _, p := range parts {
		for _, c := range p.GetCrashes() {
			out = append(out, p.GetPart()+" "+incarnationOf(c.GetEndpoint()).String())
		}
	}
	slices.Sort(out)
	return out
}
