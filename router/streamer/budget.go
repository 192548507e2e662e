package streamer

import "sync"

// Budget limits retries to a fraction of new requests, so that a failure of many
// endpoints does not cause a retry storm. Its zero value allows no retries; set the
// exported fields before the first call.
type Budget struct {
	// Ratio is how many retries each new request adds.
	Ratio float64
	// Burst is the largest number of unused retries that can accumulate.
	Burst float64
	// Saved is the number of retries available, at first and from then on.
	Saved float64

	mu sync.Mutex
}

// Earn adds the retries of one new request.
func (b *Budget) Earn() {
	b.Add(b.Ratio)
}

// Add adds n retries, up to Burst in all.
func (b *Budget) Add(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Saved = min(b.Saved+n, b.Burst)
}

// Bound sets Burst and drops the retries in excess of it.
func (b *Budget) Bound(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Burst = burst
	b.Saved = min(b.Saved, burst)
}

// Left returns the number of retries available.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Saved
}

// Spend uses one retry. It returns false if none is available.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Saved < 1 {
		return false
	}
	b.Saved--
	return true
}
