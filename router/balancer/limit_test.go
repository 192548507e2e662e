package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/balancer"
)

// instances returns balancers that share the limits of endpoints.
func instances(n int) []*balancer.Balancer {
	var live []identifier.Instance
	for i := range n {
		live = append(live, identifier.Instance(fmt.Sprintf("i%03d", i)))
	}
	var out []*balancer.Balancer
	for _, name := range live {
		out = append(out, &balancer.Balancer{
			Self: name,
			Live: func() []identifier.Instance { return live },
		})
	}
	return out
}

func endpoint(name string) cataloguer.Endpoint {
	return cataloguer.Endpoint{
		EndpointIncarnation: identifier.EndpointIncarnation{
			Endpoint:    identifier.Endpoint(name),
			Incarnation: 1,
		},
	}
}

// play sends a request at each instance every tick for some time; the endpoint names the
// limit in each answer. It returns how many requests reached the endpoint in each second.
func play(all []*balancer.Balancer, now time.Time, e cataloguer.Endpoint, limit float64, seconds int) []int {
	const tick = 20 * time.Millisecond
	arrivals := make([]int, seconds)
	end := now.Add(time.Duration(seconds) * time.Second)
	for start := now; now.Before(end); now = now.Add(tick) {
		for _, b := range all {
			if _, _, ok := b.Pick(now, []cataloguer.Endpoint{e}, "", nil); !ok {
				continue
			}
			arrivals[int(now.Sub(start)/time.Second)]++
			b.Done(now, e.EndpointIncarnation, balancer.Responded)
			b.Limit(now, now, e.EndpointIncarnation, limit)
		}
	}
	return arrivals
}

// TestLimitOfManyInstances guards against instances that each keep to the limit and
// exceed it together.
func TestLimitOfManyInstances(t *testing.T) {
	for _, n := range []int{1, 9, 60, 195} {
		for _, limit := range []float64{0.5, 2, 20, 200} {
			arrivals := play(instances(n), time.Unix(1000, 0), endpoint("e"), limit, 40)
			// In the first second no instance knows the limit yet.
			for i := 1; i+4 <= len(arrivals); i++ {
				got := arrivals[i] + arrivals[i+1] + arrivals[i+2] + arrivals[i+3]
				if most := 1.5*4*limit + 5; float64(got) > most {
					t.Errorf("%d instances, limit %g: got %d requests in 4 s from second %d on, want at most %g", n, limit, got, i, most)
					break
				}
			}
			total := 0
			for _, a := range arrivals[1:] {
				total += a
			}
			// Each instance sends 50 requests a second at the most.
			if least := 0.5 * min(limit, float64(50*n)) * 39; float64(total) < least {
				t.Errorf("%d instances, limit %g: got %d requests in 39 s, want at least %g", n, limit, total, least)
			}
		}
	}
}

// TestLimitEndsAtAllInstances guards against instances that have no share of a limit and
// never learn that it ended.
func TestLimitEndsAtAllInstances(t *testing.T) {
	all := instances(9)
	now := time.Unix(1000, 0)
	e := endpoint("e")
	play(all, now, e, 2, 10)
	now = now.Add(10 * time.Second)
	arrivals := play(all, now, e, 0, 90)
	if got, want := arrivals[89], 9*50; got != want {
		t.Errorf("got %d requests in a second 90 s after the limit ended, want %d", got, want)
	}
}

// TestLimitedEndpointPassedOver requires that requests go to an endpoint without a limit
// at once.
func TestLimitedEndpointPassedOver(t *testing.T) {
	b := &balancer.Balancer{}
	now := time.Unix(1000, 0)
	limited, other := endpoint("a"), endpoint("b")
	b.Limit(now, now, limited.EndpointIncarnation, 0.1)
	for range 10 {
		got, _, ok := b.Pick(now, []cataloguer.Endpoint{limited, other}, "", nil)
		if !ok || got.Endpoint != other.Endpoint {
			t.Errorf("got endpoint %q, %v, want %q", got.Endpoint, ok, other.Endpoint)
		}
	}
}

// TestLateAnswerEndsLimit guards against an answer to an older request that ends the limit
// of an endpoint at an instance without a share of it.
func TestLateAnswerEndsLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	e := endpoint("e")
	for i, b := range instances(60) {
		b.Limit(now, now, e.EndpointIncarnation, 0.5)
		if b.Limit(now, now.Add(-time.Second), e.EndpointIncarnation, 0) {
			t.Errorf("instance %d: the answer to an older request ended the limit", i)
		}
		if _, _, ok := b.Pick(now, []cataloguer.Endpoint{e}, "", nil); ok {
			t.Errorf("instance %d: got the endpoint at once, want a wait", i)
		}
		if !b.Limit(now, now, e.EndpointIncarnation, 0) {
			t.Errorf("instance %d: got no change as the limit ended, want one", i)
		}
	}
}
