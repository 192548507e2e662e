package server

import (
	"context"
	"sync"
)

// activeRequests is the set of requests that are being served, each with the function that ends it.
// The zero value is empty.
type activeRequests struct {
	mu      sync.Mutex
	cancels map[*exchange]context.CancelCauseFunc
}

func (s *activeRequests) add(x *exchange, cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancels == nil {
		s.cancels = make(map[*exchange]context.CancelCauseFunc)
	}
	s.cancels[x] = cancel
}

func (s *activeRequests) remove(x *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancels, x)
}

// len returns the number of requests in the set.
func (s *activeRequests) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.cancels)
}

// cancel ends all requests of the set.
func (s *activeRequests) cancel(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancel := range s.cancels {
		cancel(cause)
	}
}
