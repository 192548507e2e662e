package proxier

import (
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"heatherhold.dev/core/identifier"
)

// crashReports remembers for a short time which endpoints were asked whether they
// crashed, since a crash ends many streams at once.
type crashReports struct {
	group singleflight.Group

	mu      sync.Mutex
	results map[identifier.EndpointIncarnation]crashReport
}

// crashReport is the result of asking an endpoint.
type crashReport struct {
	askedAt time.Time
	crashed bool
}

// reportRetention is how long the result is used that an endpoint crashed. That it did not is
// used only if it was asked since: it may have crashed an instant later.
const reportRetention = time.Second

// tells reports whether the result tells what became of an endpoint since the given time.
func (r crashReport) tells(now, since time.Time) bool {
	if r.crashed {
		return now.Sub(r.askedAt) < reportRetention
	}
	return !r.askedAt.Before(since)
}

// crashed returns the result for an endpoint of a question since the given time, or that of ask.
func (c *crashReports) crashed(incarnation identifier.EndpointIncarnation, since time.Time, ask func() bool) bool {
	for {
		if r, ok := c.recent(incarnation, since); ok {
			return r.crashed
		}
		// The function returns no error.
		_, _, _ = c.group.Do(incarnation.String(), func() (any, error) {
			if _, ok := c.recent(incarnation, since); ok {
				return nil, nil
			}
			askedAt := time.Now()
			c.add(incarnation, crashReport{
				askedAt: askedAt,
				crashed: ask(),
			})
			return nil, nil
		})
	}
}

func (c *crashReports) recent(incarnation identifier.EndpointIncarnation, since time.Time) (crashReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.results[incarnation]
	return r, ok && r.tells(time.Now(), since)
}

// add adds a result and drops those that are too old.
func (c *crashReports) add(incarnation identifier.EndpointIncarnation, r crashReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.results == nil {
		c.results = make(map[identifier.EndpointIncarnation]crashReport)
	}
	now := time.Now()
	maps.DeleteFunc(c.results, func(_ identifier.EndpointIncarnation, r crashReport) bool {
		return now.Sub(r.askedAt) >= reportRetention
	})
	c.results[incarnation] = r
}
