package receiver

import (
	"slices"
	"sync"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/proxier"
)

const (
	// durationSamples is the number of recent requests of a service whose durations are kept.
	durationSamples = 64
	// minDurationSamples is the number of durations from which on the usual duration is known.
	minDurationSamples = 10
	// repeatableQuantile and onceQuantile are the shares of requests that end within the duration
	// that is assumed for the next one. A request that may not be repeated is refused rather than
	// cut even if that is unlikely, because its caller can't find out whether it ran.
	repeatableQuantile = 0.5
	onceQuantile       = 0.9
)

// durations keeps how long recent requests of each service took, for each unit of their size. The
// zero value has none.
type durations struct {
	mu       sync.Mutex
	services map[identifier.Service]*recentDurations
}

// recentDurations is a ring of the last durations.
type recentDurations struct {
	samples [durationSamples]time.Duration
	// n is the number of durations recorded so far.
	n int
}

// record records that a request of the job's service took d. It forgets the services for which
// keep returns false when it learns of a new one.
func (x *durations) record(job *proxier.Job, d time.Duration, keep func(identifier.Service) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	recent, ok := x.services[job.Service]
	if !ok {
		recent = x.addService(job.Service, keep)
	}
	recent.samples[recent.n%durationSamples] = d / sizeOf(job)
	recent.n++
}

func (x *durations) addService(s identifier.Service, keep func(identifier.Service) bool) *recentDurations {
	if x.services == nil {
		x.services = make(map[identifier.Service]*recentDurations)
	}
	for known := range x.services {
		if !keep(known) {
			delete(x.services, known)
		}
	}
	recent := &recentDurations{}
	x.services[s] = recent
	return recent
}

// usual returns the duration that is assumed for a request such as the job's, and whether it is
// known.
func (x *durations) usual(job *proxier.Job) (time.Duration, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	recent, ok := x.services[job.Service]
	if !ok || recent.n < minDurationSamples {
		return 0, false
	}
	sorted := slices.Clone(recent.samples[:min(recent.n, durationSamples)])
	slices.Sort(sorted)
	quantile := onceQuantile
	if job.Route.Repetition.Repeatable() {
		quantile = repeatableQuantile
	}
	return sorted[int(quantile*float64(len(sorted)))] * sizeOf(job), true
}

// sizeOf returns the number of tokens that the response to a model request is expected to have,
// and 1 for a request to a plain service.
func sizeOf(job *proxier.Job) time.Duration {
	tokens := job.Request.OutputHint
	if tokens == 0 {
		tokens = job.Request.Output
	}
	if job.Engine == nil || tokens == 0 {
		return 1
	}
	return time.Duration(tokens)
}
