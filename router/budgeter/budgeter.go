// Package budgeter keeps the retry budget that all entries of a pool share: in any
// window of time, the retries stay under a ratio of the requests of that window plus a
// fixed number. It reads no clock: the caller passes the time.
package budgeter

import "time"

// Limits bound the retries of one service.
type Limits struct {
	// Ratio is the number of retries that each request adds.
	Ratio float64
	// Burst is the number of further retries in any Window.
	Burst float64
	// Window is the period over which requests and retries are counted; without one there
	// is no budget.
	Window time.Duration
}

// buckets is the number of intervals in which a window is counted. Requests are counted
// over at most a window and retries over at least one, so that the limit holds in every
// window, wherever it starts.
const buckets = 20

// Budget counts the requests and the retries of one pool. Set Limits before the first call.
type Budget struct {
	Limits Limits

	since time.Time
	// current is the index of the newest bucket, counted from since.
	current  int64
	requests [buckets]float64
	retries  [buckets + 1]float64
}

// Request records that a request asked for its first ticket.
func (b *Budget) Request(now time.Time) {
	if b.advance(now) {
		b.requests[b.current%buckets]++
	}
}

// Take takes one retry. It returns false if none is left.
func (b *Budget) Take(now time.Time) bool {
	if !b.advance(now) || b.used()+1 > b.allowed(now) {
		return false
	}
	b.retries[b.current%(buckets+1)]++
	return true
}

// Return gives back a retry that was taken and not made.
func (b *Budget) Return(now time.Time) {
	if !b.advance(now) {
		return
	}
	for age := range int64(buckets + 1) {
		if i := b.current - age; i >= 0 && b.retries[i%(buckets+1)] > 0 {
			b.retries[i%(buckets+1)]--
			return
		}
	}
}

// Remaining returns the number of retries that are left.
func (b *Budget) Remaining(now time.Time) float64 {
	if !b.advance(now) {
		return 0
	}
	return max(b.allowed(now)-b.used(), 0)
}

// allowed returns the number of retries in the window that ends at now. The burst grows
// over the first window: another owner may have spent its own just before.
func (b *Budget) allowed(now time.Time) float64 {
	n := 0.0
	for _, requests := range b.requests {
		n += requests
	}
	age := min(float64(now.Sub(b.since))/float64(b.Limits.Window), 1)
	return b.Limits.Ratio*n + b.Limits.Burst*age
}

// used returns the number of retries that were taken in the window that ends now.
func (b *Budget) used() float64 {
	n := 0.0
	for _, retries := range b.retries {
		n += retries
	}
	return n
}

// advance empties the buckets that are older than the window. It returns false if there is
// no budget.
func (b *Budget) advance(now time.Time) bool {
	if b.Limits.Window <= 0 {
		return false
	}
	if b.since.IsZero() {
		b.since = now
	}
	index := int64(now.Sub(b.since) / (b.Limits.Window / buckets))
	for n := 0; b.current < index && n <= buckets; n++ {
		b.current++
		b.requests[b.current%buckets] = 0
		b.retries[b.current%(buckets+1)] = 0
	}
	b.current = max(b.current, index)
	return true
}
