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

	mu    sync.Mutex
	spent float64
}

// Earn notes a fresh request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-b.Ratio, 0)
}

// Spend takes one retry, or reports that there is none left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}
