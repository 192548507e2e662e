package gossiper_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/assigner"
	"heatherhold.dev/router/gossiper"
)

// unlistedMember returns a report of an instance without a list of endpoints.
func unlistedMember(refutations uint64, unlisted bool) *messenger.Member {
	m := memberNamed("owner", false)
	m.Refutations = refutations
	m.Unlisted = unlisted
	return m
}

// eligible reports whether an instance takes another for one that may own pools.
func eligible(s *gossiper.State, name string) bool {
	for _, i := range assigner.Eligible(s.Candidates()) {
		if string(i) == name {
			return true
		}
	}
	return false
}

// TestUnlistedMember guards against an owner without a list of endpoints, against one that others
// take for unlisted long after it has got a list, and against old reports that undo the news.
func TestUnlistedMember(t *testing.T) {
	type report struct {
		member *messenger.Member
		direct bool
	}
	for name, test := range map[string]struct {
		reports []report
		want    bool
	}{
		"told by itself": {
			reports: []report{{member: unlistedMember(0, true), direct: true}},
		},
		"told by another": {
			reports: []report{{member: unlistedMember(0, true)}},
		},
		"list known, told by another": {
			reports: []report{{member: unlistedMember(0, true), direct: true}, {member: unlistedMember(1, false)}},
			want:    true,
		},
		"old report after the news": {
			reports: []report{{member: unlistedMember(1, false)}, {member: unlistedMember(0, true)}, {member: unlistedMember(0, true), direct: true}},
			want:    true,
		},
		"passed on by an older build": {
			reports: []report{{member: unlistedMember(0, true), direct: true}, {member: unlistedMember(0, false)}},
		},
		"passed on by an older build first": {
			reports: []report{{member: unlistedMember(1, false)}, {member: unlistedMember(1, true)}},
		},
		"of an older build": {
			reports: []report{{member: unlistedMember(0, false), direct: true}},
			want:    true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := newUnproven()
			for _, r := range test.reports {
				reply := &messenger.ExchangeReply{Receiver: memberNamed("other", false)}
				if r.direct {
					reply.Receiver = r.member
				} else {
					reply.Members = []*messenger.Member{r.member}
				}
				s.HandleReply(now, now, reply)
				now = now.Add(time.Millisecond)
			}
			if got := eligible(s, "owner"); got != test.want {
				t.Errorf("may own pools: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestListedAtOnce guards against an instance that the others leave out although it has a list: the
// news must pass through others within a term.
func TestListedAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		w := newNetwork(t, seed)
		for len(w.nodes) < smallFleet {
			w.addNode(0)
		}
		for _, n := range w.nodes {
			n.state.Self.Unlisted = true
		}
		for range 200 {
			w.tick()
		}
		for _, n := range w.nodes[1:] {
			n.state.SetListed()
			n.state.SetListed()
		}
		last := w.nodes[0]
		name := last.state.Self.GetInstance()
		for range term / interval {
			w.tick()
		}
		for _, n := range w.nodes {
			if eligible(n.state, name) {
				t.Errorf("seed %d: %s takes an unlisted instance for one that may own pools", seed, n.state.Self.GetInstance())
			}
		}
		last.state.SetListed()
		for range 2 * term / interval {
			w.tick()
		}
		for _, n := range w.nodes {
			if !eligible(n.state, name) {
				t.Errorf("seed %d: %s does not know that %s has a list", seed, n.state.Self.GetInstance(), name)
			}
		}
	}
}

// FuzzMember merges any reports about a member: no panic, and the flag follows the report with the
// highest count of refutations.
func FuzzMember(f *testing.F) {
	for _, m := range []*messenger.Member{unlistedMember(0, true), unlistedMember(1<<63, false), {Unlisted: true}} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &messenger.Member{}
		if proto.Unmarshal(data, m) != nil {
			t.Skip("not a message")
		}
		s, now := newUnproven()
		s.HandleReply(now, now, &messenger.ExchangeReply{Receiver: unlistedMember(1, false)})
		s.HandleReply(now, now, &messenger.ExchangeReply{Members: []*messenger.Member{m}})
		changed := m.GetInstance() == "owner" && (m.GetIncarnation() > 1 || m.GetIncarnation() == 1 && m.GetRefutations() >= 1)
		for _, c := range s.Candidates() {
			if c.Instance == "owner" && c.Unlisted && !changed {
				t.Errorf("the report %v made another instance unlisted, or an older one undid a newer", m)
			}
		}
	})
}
