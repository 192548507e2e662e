package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/scheduler"
)

// repairOf returns an ask for the repair of the chain of a request, without an endpoint.
func repairOf(request identifier.Request, avoid identifier.EndpointIncarnation) scheduler.Ask {
	a := ask(0, "urgent")
	a.Request = request + ".repaired"
	a.Repairs = request
	a.Resumed = true
	a.Avoid = []identifier.EndpointIncarnation{avoid}
	return a
}

// startStream grants one request a chain, and returns the chain.
func startStream(t *testing.T, p *scheduler.Pool, now time.Time, id int) []identifier.Stage {
	t.Helper()
	a := ask(id, "urgent")
	p.Ask(now, a)
	chain, ok := granted(p, now)[a.Request]
	if !ok {
		t.Fatalf("got no chain for %s, want one", a.Request)
	}
	return chain
}

// freePlaces returns how many further requests find a chain, and releases them.
func freePlaces(p *scheduler.Pool, now time.Time) int {
	for i := range 6 {
		p.Ask(now, ask(100+i, "batch"))
	}
	n := 0
	for _, d := range p.Decide(now) {
		if d.Verdict == scheduler.Granted {
			n++
		}
	}
	for i := range 6 {
		p.Cancel(now, ask(100+i, "batch").Request)
	}
	return n
}

// twoLastParts returns a pool whose endpoints "first" and "middle" have four slots and hold the
// first two parts of the layers, and whose endpoints "last0" and "last1" hold the last part.
func twoLastParts() *scheduler.Pool {
	p := newPool(0)
	p.SetRunners([]scheduler.Report{
		newReport("first", 0, 4, 4, 0),
		newReport("middle", 4, 8, 4, 0),
		newReport("last0", 8, 12, 8, 0),
		newReport("last1", 8, 12, 8, 0),
	})
	return p
}

// TestRepairedChainCountedTwice guards against a stream whose chain is repaired and that takes
// two places at the stages that stay, whichever of its tickets ends first, and against one that
// takes none afterwards.
func TestRepairedChainCountedTwice(t *testing.T) {
	const slots = 4
	for _, c := range []struct {
		name string
		// ends are the operations after the repair.
		ends func(p *scheduler.Pool, now time.Time, chain []identifier.Stage)
		// want is how many places are free then.
		want int
	}{
		{
			name: "both tickets exist",
			ends: func(*scheduler.Pool, time.Time, []identifier.Stage) {},
			want: slots - 1,
		},
		{
			name: "old ticket released",
			ends: func(p *scheduler.Pool, now time.Time, _ []identifier.Stage) {
				p.Release(now, "q0", scheduler.Outcome{})
			},
			want: slots - 1,
		},
		{
			name: "new ticket released, since its stage refused",
			ends: func(p *scheduler.Pool, now time.Time, _ []identifier.Stage) {
				p.Release(now, "q0.repaired", scheduler.Outcome{})
			},
			want: slots - 1,
		},
		{
			name: "both released, the old one first",
			ends: func(p *scheduler.Pool, now time.Time, _ []identifier.Stage) {
				p.Release(now, "q0", scheduler.Outcome{})
				p.Release(now, "q0.repaired", scheduler.Outcome{})
			},
			want: slots,
		},
		{
			name: "both released, the new one first",
			ends: func(p *scheduler.Pool, now time.Time, _ []identifier.Stage) {
				p.Release(now, "q0.repaired", scheduler.Outcome{})
				p.Release(now, "q0", scheduler.Outcome{})
			},
			want: slots,
		},
		{
			name: "old ticket stalled and released",
			ends: func(p *scheduler.Pool, now time.Time, chain []identifier.Stage) {
				p.Stall(now, "q0", chain[2].EndpointIncarnation)
				p.Release(now, "q0", scheduler.Outcome{})
			},
			want: slots - 1,
		},
		{
			name: "repaired again, both earlier tickets released",
			ends: func(p *scheduler.Pool, now time.Time, _ []identifier.Stage) {
				a := repairOf("q0.repaired", identifier.EndpointIncarnation{})
				p.Ask(now, a)
				_ = p.Decide(now)
				p.Release(now, "q0", scheduler.Outcome{})
				p.Release(now, "q0.repaired", scheduler.Outcome{})
			},
			want: slots - 1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			p := twoLastParts()
			chain := startStream(t, p, now, 0)
			p.Ask(now, repairOf("q0", chain[2].EndpointIncarnation))
			if got := granted(p, now); len(got["q0.repaired"]) != 3 {
				t.Fatalf("repaired chain: got %v, want three stages", got)
			}
			c.ends(p, now, chain)
			if got := freePlaces(p, now); got != c.want {
				t.Errorf("places left: got %d, want %d", got, c.want)
			}
		})
	}
}

// TestStayingStageReadsAgain guards against a backlog of reading at a stage that stays when a
// chain is repaired: later requests would be sent to slower endpoints because of it.
func TestStayingStageReadsAgain(t *testing.T) {
	now := time.Unix(0, 0)
	p := newPool(0)
	reports := []scheduler.Report{
		newReport("first", 0, 4, 100, 0),
		newReport("last0", 4, 12, 100, 0),
		newReport("last1", 4, 12, 100, 0),
		newReport("slower", 0, 4, 100, 0),
	}
	for i := range reports {
		reports[i].PrefillTime = time.Microsecond
	}
	reports[3].TokenTime *= 2
	p.SetRunners(reports)
	chain := startStream(t, p, now, 0)
	later := now.Add(time.Second)
	for i := range 50 {
		a := repairOf("q0", chain[1].EndpointIncarnation)
		a.Request = identifier.Request(fmt.Sprint("repair", i))
		a.Prompt = 100_000
		p.Ask(later, a)
		if got := granted(p, later); len(got[a.Request]) != 2 {
			t.Fatalf("repaired chain: got %v, want two stages", got)
		}
		p.Release(later, a.Request, scheduler.Outcome{})
	}
	if got := startStream(t, p, later, 1)[0].Endpoint; got != chain[0].Endpoint {
		t.Errorf("first stage after repairs: got %s, want %s, which read nothing", got, chain[0].Endpoint)
	}
}

// TestRepairsLeakLoad guards against places that stay taken, or are freed twice, after any order
// of repairs, stalls, reports of progress and releases. A stream never takes more than one place
// at an endpoint.
func TestRepairsLeakLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 4
		now := time.Unix(0, 0)
		p := twoLastParts()
		p.Ask(now, ask(0, "urgent"))
		chains := granted(p, now)
		last := [2]identifier.EndpointIncarnation{}
		for i := range last {
			last[i] = newReport(identifier.Endpoint(fmt.Sprint("last", i)), 8, 12, 8, 0).EndpointIncarnation
		}
		tickets := []scheduler.Ask{ask(0, "urgent")}
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(tickets)-1).Draw(t, "ticket") }
		t.Repeat(map[string]func(*rapid.T){
			"repair": func(t *rapid.T) {
				a := repairOf(tickets[pick(t)].Request, rapid.SampledFrom(last[:]).Draw(t, "avoid"))
				if _, ok := chains[a.Request]; ok {
					t.Skip("repaired before")
				}
				p.Ask(now, a)
				if chain, ok := granted(p, now)[a.Request]; ok {
					chains[a.Request] = chain
					tickets = append(tickets, a)
				}
			},
			"stall": func(t *rapid.T) {
				p.Stall(now, tickets[pick(t)].Request, identifier.EndpointIncarnation{Endpoint: "elsewhere"})
			},
			"go on": func(t *rapid.T) {
				a := tickets[pick(t)]
				if p.Holds(a.Request) {
					p.Adopt(now, scheduler.ActiveTicket{
						Ask:   a,
						Chain: chains[a.Request],
					})
				}
			},
			"release": func(t *rapid.T) {
				p.Release(now, tickets[pick(t)].Request, scheduler.Outcome{})
			},
			"": func(t *rapid.T) {
				if got := freePlaces(p, now); got < slots-1 || got > slots {
					t.Fatalf("places left beside one stream: got %d, want %d or %d", got, slots-1, slots)
				}
			},
		})
		for _, a := range tickets {
			p.Cancel(now, a.Request)
		}
		if got := freePlaces(p, now); got != slots {
			t.Fatalf("places left after all tickets ended: got %d, want %d", got, slots)
		}
	})
}
