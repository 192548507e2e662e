package identifier

import (
	"math"
	"time"
)

// Ranges of quantities that another program states. A number out of its range counts as the
// bound next to it, so that sums and products of them don't overflow.
const (
	maxTime   = 365 * 24 * time.Hour
	maxTokens = 1 << 32
)

// Milliseconds returns a time in its range.
func Milliseconds(ms float64) time.Duration {
	return boundedTime(ms * float64(time.Millisecond))
}

// Seconds returns a time in its range.
func Seconds(s float64) time.Duration {
	return boundedTime(s * float64(time.Second))
}

func boundedTime(ns float64) time.Duration {
	return time.Duration(min(max(ns, 0), float64(maxTime)))
}

// TokensOf returns a number of tokens in its range, rounded up.
func TokensOf(n float64) Tokens {
	return Tokens(min(max(math.Ceil(n), 0), maxTokens))
}
