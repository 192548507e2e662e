package proxier

import (
	"sync/atomic"
	"time"
)

// provenAfter is how long a run must have made progress over its chain until it counts as sound: an
// endpoint that crashes then does not crash under it. How many bytes of the answer have arrived
// by then says nothing, since an endpoint may end before what it wrote has left it, or after.
const provenAfter = 500 * time.Millisecond

// proving tells whether a run has made progress for long enough. The zero value is that of a run
// without progress.
type proving struct {
	proven atomic.Bool
	// since is when the first event over the chain was received, and movedAt when the run was
	// moved to that chain; only the goroutine that reads the events uses them.
	since   time.Time
	movedAt *time.Time
}

// proven reports whether the attempt has made progress over its present chain for provenAfter.
func (a *attempt) proven() bool {
	return a.proving.proven.Load()
}

// recordProgress records that an event was received at now. The request and its parts are
// answered once the attempt is proven.
func (a *attempt) recordProgress(now time.Time) {
	p := &a.proving
	if moved := a.movedAt.Load(); moved != p.movedAt {
		p.movedAt = moved
		p.since = time.Time{}
	}
	if p.progress(now) {
		a.stream.proxier.Quarantiner.RecordAnswer(now, a.stream.keys)
	}
}

// progress records that an event was received at now. It reports whether the run has become proven by
// it.
func (p *proving) progress(now time.Time) bool {
	if p.since.IsZero() {
		p.since = now
	}
	return now.Sub(p.since) >= provenAfter && !p.proven.Swap(true)
}
