package granter_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/granter"
)

// FuzzToOwner sends any message to an owner without a list: it neither fails nor grants, and an
// entry that states a list is not refused for want of a chain.
func FuzzToOwner(f *testing.F) {
	ask := &messenger.Ask{
		Request: "r1",
		Rank:    urgent,
		Weight:  1,
	}
	for _, m := range []*messenger.ToOwner{
		{Asks: []*messenger.Ask{ask}},
		{Asks: []*messenger.Ask{ask}, List: &messenger.ListPosition{Era: 1, Version: 2}},
		{Asks: []*messenger.Ask{ask, ask}, List: &messenger.ListPosition{Era: 1 << 63, Version: 1 << 63}},
		{List: &messenger.ListPosition{Version: 3}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &messenger.ToOwner{}
		if proto.Unmarshal(data, m) != nil {
			t.Skip("not a message")
		}
		o := newRestartedOwner(t)
		stream, err := o.granter.Open(t.Context(), granter.Key{Service: service})
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		stream.Send(m)
		got := collect(stream, 20*time.Millisecond, func(*answers) bool { return false })
		if got.grants > 0 && len(m.GetHeld()) == 0 {
			t.Errorf("got %d grants of an owner without endpoints, want 0", got.grants)
		}
		if m.GetList().Position() == (identifier.Position{}) {
			return
		}
		for _, r := range got.refusals {
			t.Errorf("got a refusal of kind %s, want none", r.GetKind())
		}
	})
}
