package streamer

import "sync"

// Budget bounds retries to a fraction of fresh requests, so that a fault of
// many endpoints does not turn into a storm. Its zero value allows none; set
// the exported fields first.
type Budget struct {
	// Ratio is how many retries one request earns.
	Ratio float64
	// Burst is how many retries may be saved up.
	Burst float64
	// Saved is how many are saved up at the start.
	Saved float64

	mu sync.Mutex
}

// Earn notes a fresh request.
func (b *Budget) Earn() {
	b.Add(b.Ratio)
}

// Add gives n more retries.
func (b *Budget) Add(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Saved = min(b.Saved+n, b.Burst)
}

// Bound changes how many retries may be saved up.
func (b *Budget) Bound(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Burst = burst
	b.Saved = min(b.Saved, burst)
}

// Left returns how many retries are saved up.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Saved
}

// Spend takes one retry, or reports that there is none left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Saved < 1 {
		return false
	}
	b.Saved--
	return true
}
