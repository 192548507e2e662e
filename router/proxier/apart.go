package proxier

import (
	"context"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/quarantiner"
)

const (
	// apartWait limits the wait of a suspected request for a chain apart from most streams.
	apartWait = 200 * time.Millisecond
	// busyFraction is the fraction of the streams at the busiest first stage from which
	// another one counts as busy as well.
	busyFraction = 0.5
)

// acquireApart acquires a chain. That of a suspected request starts, if there is one soon, at an
// endpoint with few streams, since they end with it if it crashes.
func (s *stream) acquireApart(ctx context.Context, pass *quarantiner.Pass) (*acquirer.Ticket, error) {
	if pass.Suspect() && !s.sharedRetry {
		soon, cancel := context.WithTimeout(ctx, apartWait)
		defer cancel()
		ticket, err := s.acquireUnpaused(soon, false, s.proxier.busyFirstStages(s.job.Service)...)
		if err == nil {
			return ticket, nil
		}
		s.proxier.log(s.job).WithError(err).Debug("no chain apart from most streams")
	}
	return s.acquireTicket(ctx)
}

// busyFirstStages returns the endpoints at which most of this instance's streams of a service
// start.
func (x *Proxier) busyFirstStages(service identifier.Service) []identifier.EndpointIncarnation {
	x.mu.Lock()
	defer x.mu.Unlock()
	streams := make(map[identifier.EndpointIncarnation]int)
	most := 0
	for a := range x.active {
		if a.stream.job.Service != service {
			continue
		}
		first := a.chain()[0].EndpointIncarnation
		streams[first]++
		most = max(most, streams[first])
	}
	var out []identifier.EndpointIncarnation
	for incarnation, n := range streams {
		if float64(n) > busyFraction*float64(most) {
			out = append(out, incarnation)
		}
	}
	return out
}
