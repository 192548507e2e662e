package relayer

import (
	"fmt"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/streamer"
)

// Retries bounds what all instances together send to further endpoints.
type Retries struct {
	// Ratio is how many retries a request earns.
	Ratio float64
	// Burst is how many more are allowed in any Window.
	Burst float64
	// Window is the time in which retries count; with 0 the burst is allowed once.
	Window time.Duration
}

const (
	// savedAtStart is how many retries an instance may make before its requests
	// have earned any: one that has just started does not know yet how many
	// others share the burst.
	savedAtStart = 2
	// settleTime is how long an instance gets to know the others before it takes
	// its part of the burst again in each window.
	settleTime = 3 * time.Second
	// savedPart is the part of the burst that may be saved up; the rest is earned
	// evenly over each window, so that no window sees more than the burst.
	savedPart = 0.4
)

// budget is one service's retries at this instance.
type budget struct {
	streamer.Budget
	begun time.Time
	// grown is when the part of the burst was last taken.
	grown time.Time
}

// budget returns the retries of a service, with this instance's part of the burst.
func (x *Relayer) budget(now time.Time, s identifier.Service) *budget {
	burst := x.Retries.Burst / float64(x.Observer.View().Instances())
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.budgets == nil {
		x.budgets = make(map[identifier.Service]*budget)
	}
	b, ok := x.budgets[s]
	if !ok {
		b = &budget{
			Budget: streamer.Budget{
				Ratio: x.Retries.Ratio,
				Saved: savedAtStart,
			},
			begun: now,
			grown: now,
		}
		x.budgets[s] = b
		x.Reporter.Gauge(fmt.Sprintf(`heatherhold_retries_left{service=%q}`, s), b.Left)
	}
	if x.Retries.Window <= 0 {
		b.Bound(burst)
		return b
	}
	b.Bound(savedPart * burst)
	if now.Sub(b.begun) >= settleTime {
		b.Add((1 - savedPart) * burst * now.Sub(b.grown).Seconds() / x.Retries.Window.Seconds())
	}
	b.grown = now
	return b
}

// repeats takes a retry out of a service's budget, or reports that none is left.
func (x *Relayer) repeats(s identifier.Service) bool {
	if !x.budget(time.Now(), s).Spend() {
		return false
	}
	x.Reporter.Repeated(s)
	return true
}
