package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/planner"
	"heatherhold.dev/router/scheduler"
)

const (
	// mixedLayers is the number of layers of the model that a mixed fleet serves.
	mixedLayers = 80
	// mixedCentres is the number of data centres of a mixed fleet.
	mixedCentres = 5
	// mixedCustomers is the number of customers that ask a mixed fleet.
	mixedCustomers = 40
)

// slowLinks has the same delay and transfer time between any two data centres.
type slowLinks struct{}

func (slowLinks) Delay(from, to identifier.DataCentre) time.Duration {
	if from == to {
		return 0
	}
	return 500 * time.Microsecond
}

func (slowLinks) TransferTime(from, to identifier.DataCentre, prompt identifier.Tokens) time.Duration {
	if from == to {
		return 0
	}
	return time.Duration(prompt) * time.Millisecond
}

func mixedCentre(i int) identifier.DataCentre {
	return identifier.DataCentre(fmt.Sprintf("dc%d", i%mixedCentres))
}

// mixedReports returns n endpoints of two sizes in turn over the data centres: every
// third holds a quarter of the model, the others an eighth.
func mixedReports(n int) []scheduler.Report {
	var out []scheduler.Report
	for i := range n {
		parts, slots, tokenTime := 8, 40, 10*time.Millisecond
		if i%3 == 0 {
			parts, slots, tokenTime = 4, 60, 4*time.Millisecond
		}
		count := identifier.Layer(mixedLayers / parts)
		from := identifier.Layer(i/mixedCentres%parts) * count
		out = append(out, scheduler.Report{Runner: planner.Runner{
			Stage: identifier.Stage{
				EndpointIncarnation: identifier.EndpointIncarnation{
					Endpoint:    identifier.Endpoint(fmt.Sprintf("i-%08x", i*2654435761)),
					Incarnation: 1700000000000,
				},
				Address: fmt.Sprintf("10.0.%d.%d:8080", i/256, i%256),
				From:    from,
				To:      from + count,
			},
			DataCentre:   mixedCentre(i),
			Slots:        slots,
			MemoryTokens: identifier.Tokens(slots * 1000),
			TokenTime:    tokenTime,
			PrefillTime:  time.Microsecond,
		}})
	}
	return out
}

// mixedPolicy returns the policy of a mixed fleet, with three ranks.
func mixedPolicy() scheduler.Policy {
	ranks := make(map[identifier.Rank]declarer.Rank)
	for order := range 3 {
		ranks[identifier.Rank(fmt.Sprintf("order-%d", order))] = declarer.Rank{
			Order:         order,
			BetweenTokens: identifier.DurationOf(200 * time.Millisecond),
			QueueLimit:    400,
			MaxWait:       identifier.DurationOf(time.Second),
		}
	}
	return scheduler.Policy{
		Layers:  mixedLayers,
		Partial: true,
		Ranks:   ranks,
		Links:   slowLinks{},
	}
}

func newMixedPool(n int) *scheduler.Pool {
	p := &scheduler.Pool{}
	p.Configure(mixedPolicy())
	p.SetRunners(mixedReports(n))
	return p
}

func mixedAsk(i int) scheduler.Ask {
	return scheduler.Ask{
		Request:  identifier.Request(fmt.Sprintf("%016x.1", i)),
		Customer: identifier.Customer(fmt.Sprintf("customer-%02d", i%mixedCustomers)),
		Rank:     identifier.Rank(fmt.Sprintf("order-%d", i%3)),
		Tier:     identifier.Paying,
		Weight:   1,
		Entry:    mixedCentre(i),
		Prompt:   identifier.Tokens(400 + i*37%800),
		Output:   200,
		Prefix:   uint64(i + 1),
	}
}

// fill starts requests until none can start, and returns the first free number.
func fill(p *scheduler.Pool, now time.Time, first int) int {
	for i := first; ; i++ {
		p.Ask(now, mixedAsk(i))
		p.Decide(now)
		if p.Waiting() > mixedCustomers {
			return i + 1
		}
	}
}

var mixedSizes = []int{30, 99, 190, 1000}

// BenchmarkMixedTicket measures one ticket of a mixed fleet with a light load, from
// request to release.
func BenchmarkMixedTicket(b *testing.B) {
	for _, n := range mixedSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			p := newMixedPool(n)
			now := time.Unix(0, 0)
			const inFlight = 100
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				now = now.Add(time.Millisecond)
				p.Ask(now, mixedAsk(i))
				p.Decide(now)
				p.Release(now, mixedAsk(i-inFlight).Request, scheduler.Outcome{Tokens: 100})
			}
		})
	}
}

// BenchmarkMixedTicketSaturated measures the same while requests wait in every queue.
func BenchmarkMixedTicketSaturated(b *testing.B) {
	for _, n := range mixedSizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			p := newMixedPool(n)
			now := time.Unix(0, 0)
			i := fill(p, now, 1)
			released := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				released++
				p.Ask(now, mixedAsk(i))
				p.Decide(now)
				p.Release(now, mixedAsk(released).Request, scheduler.Outcome{Tokens: 100})
				p.Decide(now)
			}
		})
	}
}

// countingLinks counts the calls of Delay.
type countingLinks struct {
	slowLinks
	calls *int
}

func (l countingLinks) Delay(from, to identifier.DataCentre) time.Duration {
	*l.calls++
	return l.slowLinks.Delay(from, to)
}

// countLinks makes p count how often it asks for the delay of a link.
func countLinks(p *scheduler.Pool) *int {
	policy := mixedPolicy()
	calls := new(int)
	policy.Links = countingLinks{calls: calls}
	p.Configure(policy)
	return calls
}

// searchLinks is the number of links that one search for a chain looks at: each pair
// of data centres, and the way from the entry to each.
const searchLinks = mixedCentres*mixedCentres + mixedCentres

// TestTicketSearchesPairsOfEndpoints guards against a ticket whose cost grows with the
// pairs of endpoints: the owner of a large pool then spends its processor time on
// searching while its endpoints are idle.
func TestTicketSearchesPairsOfEndpoints(t *testing.T) {
	for _, n := range mixedSizes {
		p := newMixedPool(n)
		calls := countLinks(p)
		now := time.Unix(0, 0)
		p.Ask(now, mixedAsk(1))
		if got, want := len(p.Decide(now)), 1; got != want {
			t.Fatalf("decisions: got %d, want %d", got, want)
		}
		if got, want := *calls, searchLinks+mixedCentres; got > want {
			t.Errorf("%d endpoints: got %d links looked at for a ticket, want %d at most", n, got, want)
		}
	}
}

// TestSaturatedOwnerSearchesForEveryCustomer guards against an owner that searches a
// full pool for a chain for each waiting customer, whenever a message arrives.
func TestSaturatedOwnerSearchesForEveryCustomer(t *testing.T) {
	p := newMixedPool(190)
	now := time.Unix(0, 0)
	fill(p, now, 1)
	waiting := p.Waiting()
	calls := countLinks(p)
	if got := p.Decide(now); len(got) > 0 {
		t.Fatalf("decisions: got %d, want none", len(got))
	}
	// The sizes of the waiting requests arrive in no order: of n sizes, some ln(n)
	// are smaller than all before them.
	const maxSearches = 12
	if got, want := *calls, maxSearches*searchLinks; got > want {
		t.Errorf("%d waiting: got %d links looked at, want %d at most", waiting, got, want)
	}
}
