package proxier

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/quarantiner"
)

const (
	// lostRunDelay is how long after a run was lost its endpoint is looked at again.
	lostRunDelay = 500 * time.Millisecond
	// maxLostRuns limits the lost runs that are remembered.
	maxLostRuns = 256
)

// lostRun is a run whose connection was lost while its endpoint lived on: the endpoint may
// still work on it, and crash. One without keys can't be the cause, but tells of a crash.
type lostRun struct {
	incarnation identifier.EndpointIncarnation
	address     string
	keys        []quarantiner.Key
	due         time.Time
}

// lostRuns holds the lost runs in the order in which they are due.
type lostRuns struct {
	mu   sync.Mutex
	runs []lostRun
}

// checkLater remembers a run that ended with err, and reports true, if its connection was lost.
func (x *Proxier) checkLater(err error, incarnation identifier.EndpointIncarnation, address string, keys []quarantiner.Key) bool {
	if !errors.Is(err, exchanger.ErrLost) {
		return false
	}
	x.lostRuns.mu.Lock()
	defer x.lostRuns.mu.Unlock()
	same := func(r lostRun) bool { return r.incarnation == incarnation }
	if len(x.lostRuns.runs) >= maxLostRuns || (len(keys) == 0 && slices.ContainsFunc(x.lostRuns.runs, same)) {
		return false
	}
	x.lostRuns.runs = append(x.lostRuns.runs, lostRun{
		incarnation: incarnation,
		address:     address,
		keys:        keys,
		due:         time.Now().Add(lostRunDelay),
	})
	return true
}

// takeDue removes and returns the runs that are due.
func (l *lostRuns) takeDue(now time.Time) []lostRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for n < len(l.runs) && !now.Before(l.runs[n].due) {
		n++
	}
	due := l.runs[:n:n]
	l.runs = l.runs[n:]
	return due
}

// checkLostRuns records the crashes of the endpoints that lost the connections of runs.
func (x *Proxier) checkLostRuns(ctx context.Context, runs []lostRun) {
	var group errgroup.Group
	for _, r := range runs {
		group.Go(func() error {
			if x.hasEnded(ctx, r.incarnation, r.address) {
				c := chargeRequest
				if len(r.keys) == 0 {
					c = chargeNothing
				}
				x.recordCrash(r.incarnation, r.keys, c)
			}
			return nil
		})
	}
	// No function returns an error.
	_ = group.Wait()
}
