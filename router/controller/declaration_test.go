package controller_test

import (
	"encoding/json"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/controller"
	"heatherhold.dev/router/publisher"
)

// TestRankOfCustomerOrder guards against ranks that exist only by a customer's order having
// terms that no route has, and against their shares being more than all ranks have together.
func TestRankOfCustomerOrder(t *testing.T) {
	i := startConfigured(t, func(*controller.Controller) {})
	value, err := json.Marshal(1)
	if err != nil {
		t.Fatal(err)
	}
	i.sites.changes <- cataloguer.Change[controller.StoredConfiguration]{Set: map[string]controller.StoredConfiguration{"config": {
		Value: value,
		Configuration: &cataloguer.Configuration{
			Revision: 1,
			Routes: []cataloguer.Route{
				{Name: "plain", Order: 9, Target: time.Millisecond},
				{Name: "slow", Streams: true, Order: 1, Target: time.Second, Gap: 250 * time.Millisecond},
				{Name: "fast", Streams: true, Order: 1, Target: 500 * time.Millisecond, Gap: 400 * time.Millisecond},
			},
			Customers: []cataloguer.Customer{
				{Name: "a", HasOrder: true},
				{Name: "b", HasOrder: true, Order: 1},
				{Name: "c", Order: 7},
			},
		},
	}}}
	want := map[identifier.Rank]declarer.Rank{
		"order-0": {
			FirstToken:      identifier.DurationOf(500 * time.Millisecond),
			GuaranteedShare: 0.15,
			QueueLimit:      400,
			MaxWait:         identifier.DurationOf(time.Second),
			CustomerOnly:    true,
		},
		"order-1": {
			Order:           1,
			FirstToken:      identifier.DurationOf(500 * time.Millisecond),
			BetweenTokens:   identifier.DurationOf(250 * time.Millisecond),
			GuaranteedShare: 0.15,
			QueueLimit:      400,
			MaxWait:         identifier.DurationOf(time.Second),
		},
	}
	i.waitFor(t, "a configuration", func(v *publisher.View) bool { return v.Declaration != nil })
	got := i.publisher.View().Declaration.Rank
	if len(got) != len(want) {
		t.Errorf("ranks: got %v, want %v", got, want)
	}
	for name, r := range want {
		if got[name] != r {
			t.Errorf("%s: got %+v, want %+v", name, got[name], r)
		}
	}
}
