package gossiper_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/gossiper"
)

// newUnproven returns the state of an instance whose platform's list may name instances that are
// gone, and the time of its start.
func newUnproven() (*gossiper.State, time.Time) {
	now := time.Unix(1000, 0)
	return &gossiper.State{
		Self:      &messenger.Member{Instance: "self", Incarnation: 1},
		Term:      term,
		StartedAt: now,
		Unproven:  true,
	}, now
}

func memberNamed(name string, suspected bool) *messenger.Member {
	return &messenger.Member{
		Instance:    name,
		Address:     name + ":1",
		Incarnation: 1,
		Suspected:   suspected,
	}
}

// TestRowCountsAsMember guards against an instance that takes each row of the registry for a living
// instance, so that one that is gone owns pools.
func TestRowCountsAsMember(t *testing.T) {
	s, now := newUnproven()
	s.UpdateListed(now, []*messenger.Member{memberNamed("gone", false), memberNamed("alive", false)})
	if got := s.Live(); len(got) != 1 {
		t.Errorf("live instances before any was heard from: got %v, want this one only", got)
	}
	s.HandleReply(now, now, &messenger.ExchangeReply{
		Receiver: memberNamed("alive", false),
		Members:  []*messenger.Member{memberNamed("told", false), memberNamed("suspected", true)},
	})
	if got := s.Live(); len(got) != 3 || got[0] != "alive" || got[1] != "self" || got[2] != "told" {
		t.Errorf("live instances: got %v, want alive, self and told", got)
	}
	if s.Heard("suspected") || s.Heard("gone") {
		t.Error("an instance that nobody heard from is a member, want none")
	}
}

// TestSilentMemberNeverForgotten guards against members that are gone and count for ever, and
// against forgetting one that runs.
func TestSilentMemberNeverForgotten(t *testing.T) {
	s, now := newUnproven()
	s.HandleReply(now, now, &messenger.ExchangeReply{Receiver: memberNamed("silent", false)})
	s.HandleReply(now, now, &messenger.ExchangeReply{Receiver: memberNamed("quiet", false)})
	s.Suspect(now, "silent")
	for elapsed := time.Duration(0); elapsed < 9*term; elapsed += term {
		s.UpdateListed(now.Add(elapsed), nil)
	}
	if got, want := len(s.Members()), 2; got != want {
		t.Errorf("members while one may still run: got %d, want %d", got, want)
	}
	s.UpdateListed(now.Add(11*term), nil)
	if s.Heard("silent") || !s.Heard("quiet") {
		t.Errorf("members: got silent %v and quiet %v, want quiet only", s.Heard("silent"), s.Heard("quiet"))
	}
	// Who still tells of the suspicion does not bring it back, and who is heard from is back.
	s.HandleReply(now, now.Add(12*term), &messenger.ExchangeReply{
		Receiver: memberNamed("quiet", false),
		Members:  []*messenger.Member{memberNamed("silent", true)},
	})
	if s.Heard("silent") {
		t.Error("a suspicion brought the forgotten member back")
	}
	s.HandleRequest(now.Add(13*term), &messenger.ExchangeRequest{Sender: memberNamed("silent", false)})
	if got, want := len(s.Live()), 3; got != want {
		t.Errorf("live instances once it is heard from: got %d, want %d", got, want)
	}
}

// TestClockStepBackAtStart guards against an instance that starts after its clock was set back, and
// whose messages the others then ignore for ever.
func TestClockStepBackAtStart(t *testing.T) {
	before := memberNamed("self", false)
	before.Incarnation = 5_000
	for name, learn := range map[string]func(s, running *gossiper.State, now time.Time){
		"from its row": func(s, _ *gossiper.State, _ time.Time) { s.Succeed(before.GetIncarnation()) },
		"from the reply": func(s, running *gossiper.State, now time.Time) {
			s.HandleReply(now, now, running.HandleRequest(now, s.Request(now, 0)))
		},
	} {
		running, now := newUnproven()
		running.Self.Instance = "running"
		running.HandleRequest(now, &messenger.ExchangeRequest{Sender: before})
		running.Suspect(now, "self")
		s, _ := newUnproven()
		learn(s, running, now)
		if got := s.Self.GetIncarnation(); got <= before.GetIncarnation() {
			t.Errorf("%s: incarnation: got %d, want more than %d", name, got, before.GetIncarnation())
		}
		running.HandleRequest(now, s.Request(now, 0))
		if got, want := len(running.Live()), 2; got != want {
			t.Errorf("%s: live instances: got %d, want %d", name, got, want)
		}
	}
}

// TestImpossibleIncarnationSucceeded guards against an instance that takes an incarnation which no
// other believes, from a row or a message that no instance wrote.
func TestImpossibleIncarnationSucceeded(t *testing.T) {
	for _, earlier := range []uint64{messenger.MaxIncarnation, 1<<64 - 1} {
		s, _ := newUnproven()
		s.Succeed(earlier)
		if got, want := s.Self.GetIncarnation(), uint64(1); got != want {
			t.Errorf("incarnation after %d: got %d, want %d", earlier, got, want)
		}
	}
}
