// Package pacer keeps requests to an endpoint within the number a second that the
// endpoint takes.
package pacer

import (
	"time"
)

const (
	// usedShare is the share of a limit that is used, so that requests that arrive
	// closer together than they were sent stay within it.
	usedShare = 0.9
	// burstTime is how long an unused limit adds up, if that is more than one request.
	burstTime = 100 * time.Millisecond
)

// Bucket is a token bucket for one endpoint. The zero value sets no limit.
type Bucket struct {
	// perSecond is the rate at which requests are allowed; 0 is no limit.
	perSecond float64
	available float64
	updatedAt time.Time
}

// Limit sets how many requests a second the endpoint takes; 0 ends the limit. A new limit
// starts without an unused request, because the endpoint was sent more before.
func (b *Bucket) Limit(now time.Time, perSecond float64) {
	if perSecond <= 0 {
		*b = Bucket{}
		return
	}
	if !b.Limited() {
		b.updatedAt = now
	}
	b.refill(now)
	b.perSecond = perSecond * usedShare
	b.available = min(b.available, b.depth())
}

// Limited reports whether there is a limit.
func (b *Bucket) Limited() bool {
	return b.perSecond > 0
}

// PerSecond returns the rate at which requests are sent; 0 without a limit.
func (b *Bucket) PerSecond() float64 {
	return b.perSecond
}

// Wait returns how long a request has to wait; 0 if it may be sent now.
func (b *Bucket) Wait(now time.Time) time.Duration {
	if !b.Limited() {
		return 0
	}
	b.refill(now)
	if b.available >= 1 {
		return 0
	}
	return time.Duration((1 - b.available) / b.perSecond * float64(time.Second))
}

// Take records a request that is sent. If it is sent before its time, the next one
// waits for longer.
func (b *Bucket) Take(now time.Time) {
	if b.Limited() {
		b.refill(now)
		b.available--
	}
}

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.available = min(b.available+b.perSecond*elapsed.Seconds(), b.depth())
		b.updatedAt = now
	}
}

// depth returns how many unused requests may add up.
func (b *Bucket) depth() float64 {
	return max(1, b.perSecond*burstTime.Seconds())
}
