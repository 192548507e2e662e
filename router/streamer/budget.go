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
	// Available is the number of unused retries; set it to the initial number.
	Available float64

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
	b.Available = min(b.Available+n, b.Burst)
}

// SetBurst sets Burst and drops the retries in excess of it.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Burst = burst
	b.Available = min(b.Available, burst)
}

// Remaining returns the number of retries available.
func (b *Budget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Available
}

// Spend uses one retry. It returns false if none is available.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Available < 1 {
		return false
	}
	b.Available--
	return true
}
