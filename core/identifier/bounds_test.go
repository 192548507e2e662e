package identifier_test

import (
	"math"
	"testing"
	"time"

	"heatherhold.dev/core/identifier"
)

// TestBounds checks that numbers out of their ranges count as the bound next to them.
func TestBounds(t *testing.T) {
	const year = 365 * 24 * time.Hour
	for n, want := range map[float64]time.Duration{
		1.5:          1500 * time.Microsecond,
		0:            0,
		-1:           0,
		1e300:        year,
		math.Inf(1):  year,
		math.Inf(-1): 0,
	} {
		if got := identifier.Milliseconds(n); got != want {
			t.Errorf("%v ms: got %v, want %v", n, got, want)
		}
	}
	if got := identifier.Seconds(2.5); got != 2500*time.Millisecond {
		t.Errorf("2.5 s: got %v, want 2.5s", got)
	}
	for n, want := range map[float64]identifier.Tokens{
		1.2:         2,
		-5:          0,
		9.3e18:      1 << 32,
		math.Inf(1): 1 << 32,
	} {
		if got := identifier.TokensOf(n); got != want {
			t.Errorf("%v tokens: got %d, want %d", n, got, want)
		}
	}
}
