package proxier

import (
	"fmt"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/acquirer"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/streamer"
)

// Retries limits the retries of all instances together.
type Retries struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Burst is the number of additional retries allowed in any Window.
	Burst float64
	// Window is the period to which Burst applies; with 0 the burst is allowed once.
	Window time.Duration
	// OwnerShare is the share of Ratio and Burst that instances do not spend on retries of
	// model requests, 0 to 1, since the pool's owner keeps retries for all of them. An instance that has none left itself
	// asks there: a stage that fails takes many streams of some instances at once, and none
	// of others.
	OwnerShare float64
}

const (
	// initialRetries is the number of retries that an instance may make before its
	// requests have added any: an instance that has just started has not yet
	// discovered how many others share the burst.
	initialRetries = 2
	// discoveryTime is the time that an instance is given to discover the others
	// before it adds its share of the burst in each window.
	discoveryTime = 3 * time.Second
	// savedFraction is the fraction of the burst that may be saved up. The rest is
	// added evenly over each window, so that no window exceeds the burst.
	savedFraction = 0.4
)

// budget is the retry budget of one service at this instance.
type budget struct {
	streamer.Budget
	created time.Time
	// lastAdded is the time up to which shares of the burst were added or, before
	// discoveryTime, forfeited.
	lastAdded time.Time
}

// budget returns the retry budget of a service, after adding this instance's share
// of the burst.
func (x *Proxier) budget(now time.Time, s identifier.Service) *budget {
	v := x.Publisher.View()
	own := x.ownShare(v, s)
	burst := own * x.Retries.Burst / float64(v.Instances())
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.budgets == nil {
		x.budgets = make(map[identifier.Service]*budget)
	}
	b, ok := x.budgets[s]
	if !ok {
		b = &budget{
			Budget: streamer.Budget{
				Ratio:     own * x.Retries.Ratio,
				Available: initialRetries,
			},
			created:   now,
			lastAdded: now,
		}
		x.budgets[s] = b
		x.Reporter.Gauge(fmt.Sprintf(`heatherhold_retries_left{service=%q}`, s), b.Remaining)
	}
	if x.Retries.Window <= 0 {
		b.SetBurst(burst)
		return b
	}
	b.SetBurst(savedFraction * burst)
	if now.Sub(b.created) >= discoveryTime {
		b.Add((1 - savedFraction) * burst * now.Sub(b.lastAdded).Seconds() / x.Retries.Window.Seconds())
	}
	b.lastAdded = now
	return b
}

// ownShare returns the share of a service's retries that the instances keep themselves.
func (x *Proxier) ownShare(v *publisher.View, s identifier.Service) float64 {
	if v.Site == nil || v.Site.Services[s].Engine == nil {
		return 1
	}
	return 1 - x.Retries.OwnerShare
}

// takeRetry takes a retry from this instance's budget or, if none is left there, makes the
// next question for a chain one for a retry out of the owner's budget as well. It returns
// false if there is no such budget.
func (s *stream) takeRetry() bool {
	s.sharedRetry = !s.proxier.spendRetry(s.job.Service)
	return !s.sharedRetry || s.proxier.Retries.OwnerShare > 0
}

// checkRetry returns errNoRetryLeft, and gives the ticket back, if a ticket for a retry out of the
// owner's budget does not include one: the owner is of an older build.
func (s *stream) checkRetry(ticket *acquirer.Ticket) error {
	if !ticket.Retry {
		ticket.Release(acquirer.Outcome{})
		return errNoRetryLeft
	}
	s.proxier.Reporter.CountRetry(s.job.Service)
	return nil
}

// spendRetry takes one retry from the service's budget. It returns false if none
// is left.
func (x *Proxier) spendRetry(s identifier.Service) bool {
	if !x.budget(time.Now(), s).Spend() {
		return false
	}
	x.Reporter.CountRetry(s)
	return true
}
