package receiver

import (
	"context"
	"sync"

	"heatherhold.dev/core/courier"
	"heatherhold.dev/router/proxier"
)

// activeRequest is a request that is being served.
type activeRequest struct {
	request *courier.Request
	// cancel ends the request.
	cancel context.CancelCauseFunc
	// job is nil until the configuration's route for the request is known.
	job *proxier.Job
	// bodyFailed is set if the body could not be read to its end. Only the request's own goroutine
	// uses it.
	bodyFailed bool
}

// jobOrUnrouted returns the job, or one without a route if none is known. Only the
// goroutine that serves r may call it.
func (r *activeRequest) jobOrUnrouted() *proxier.Job {
	if r.job != nil {
		return r.job
	}
	return &proxier.Job{
		Request: r.request,
		Order:   proxier.NoOrder,
	}
}

// activeRequests is the set of requests that are being served. The zero value is empty.
type activeRequests struct {
	mu  sync.Mutex
	set map[*activeRequest]bool
}

func (s *activeRequests) add(r *activeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set == nil {
		s.set = make(map[*activeRequest]bool)
	}
	s.set[r] = true
}

func (s *activeRequests) remove(r *activeRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.set, r)
}

// setJob records the job of r.
func (s *activeRequests) setJob(r *activeRequest, job *proxier.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.job = job
}

// len returns the number of requests in the set.
func (s *activeRequests) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.set)
}

// each calls f for each request of the set.
func (s *activeRequests) each(f func(*activeRequest)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.set {
		f(r)
	}
}
