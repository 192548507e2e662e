package spreader

import (
	"math/rand/v2"
	"sort"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
)

// goneTerms is how long a member that the platform no longer lists must be
// silent, in terms, before it is dropped.
const goneTerms = 3

// hearsayParts is for how small a part of a term a member that has spoken is
// safe from others' suspicion.
const hearsayParts = 4

// hear notes that a member itself spoke.
func (s *State) hear(now time.Time, m *messenger.Member) {
	s.meet(now, m, true)
}

// learn takes in what a peer says of others.
func (s *State) learn(now time.Time, members []*messenger.Member, marks []*messenger.Mark) {
	for _, m := range members {
		s.meet(now, m, false)
	}
	for _, m := range marks {
		s.Mark(now, lifeOf(m))
	}
}

func (s *State) meet(now time.Time, m *messenger.Member, spoke bool) {
	name := m.GetInstance()
	if name == "" || name == s.Self.GetInstance() {
		return
	}
	old, ok := s.members[name]
	switch {
	case !ok:
		if m.GetGone() && !spoke {
			return
		}
		s.members[name] = &member{
			wire:  m,
			heard: now,
			news:  now,
		}
		s.edits++
	case m.GetIncarnation() > old.wire.GetIncarnation():
		old.wire = m
		old.heard = now
		old.news = now
		old.delisted = time.Time{}
		s.edits++
	case m.GetIncarnation() < old.wire.GetIncarnation():
	default:
		if spoke {
			old.heard = now
		}
		s.note(now, old, m, spoke)
	}
}

// Suspect notes that a member did not answer. Suspicion is told to others and
// ends when the member speaks.
func (s *State) Suspect(now time.Time, name string) {
	m, ok := s.members[name]
	if !ok || m.wire.GetSuspected() {
		return
	}
	m.wire = merge(m.wire, m.wire, true)
	m.news = now
	s.edits++
}

// Suspects returns the members that do not answer, by name.
func (s *State) Suspects() []*messenger.Member {
	var out []*messenger.Member
	for _, m := range s.Members() {
		if m.GetSuspected() {
			out = append(out, m)
		}
	}
	return out
}

// note takes in what is new about a known incarnation.
func (s *State) note(now time.Time, old *member, m *messenger.Member, spoke bool) {
	suspected := old.wire.GetSuspected() && !spoke
	// Hearsay counts against a member only if it has not spoken lately.
	if m.GetSuspected() && !spoke && now.Sub(old.heard) > s.Term/hearsayParts {
		suspected = true
	}
	next := merge(old.wire, m, suspected)
	if next.GetSuspected() != old.wire.GetSuspected() || next.GetLeaving() != old.wire.GetLeaving() || next.GetGone() != old.wire.GetGone() || next.GetAddress() != old.wire.GetAddress() {
		old.wire = next
		old.news = now
		s.edits++
	}
}

// merge keeps what is final for an incarnation: leaving and gone.
func merge(old, m *messenger.Member, suspected bool) *messenger.Member {
	return &messenger.Member{
		Suspected:   suspected,
		Instance:    m.GetInstance(),
		Address:     m.GetAddress(),
		Site:        m.GetSite(),
		Incarnation: m.GetIncarnation(),
		Leaving:     old.GetLeaving() || m.GetLeaving(),
		Gone:        old.GetGone() || m.GetGone(),
	}
}

// Listed takes in the platform's list of router instances, read at now. A
// member that it lacks, and that has been silent for long, is dropped.
func (s *State) Listed(now time.Time, listed []*messenger.Member) {
	s.prepare()
	s.listed = now
	present := make(map[string]bool)
	for _, m := range listed {
		present[m.GetInstance()] = true
		s.meet(now, m, false)
	}
	for name, m := range s.members {
		if present[name] {
			m.delisted = time.Time{}
			continue
		}
		if m.delisted.IsZero() {
			m.delisted = now
		}
		silent := now.Sub(m.heard) > goneTerms*s.Term && now.Sub(m.delisted) > goneTerms*s.Term
		if silent {
			delete(s.members, name)
			s.edits++
		}
	}
}

// Oversees reports whether the instance knows every other that may decide: it
// has read the platform's list after its own establishment time, by when an
// instance that is older than it, and so may hold an older revision, is listed.
func (s *State) Oversees() bool {
	return s.listed.Sub(s.Born) >= establishTerms*s.Term
}

// Members returns the other instances that are not gone, by name.
func (s *State) Members() []*messenger.Member {
	out := make([]*messenger.Member, 0, len(s.members))
	for _, m := range s.members {
		if !m.wire.GetGone() {
			out = append(out, m.wire)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetInstance() < out[j].GetInstance() })
	return out
}

// Live returns the instances, this one included, that can own pools: they are
// not leaving and nobody suspects them.
func (s *State) Live() []identifier.Instance {
	var live []identifier.Instance
	if !s.Self.GetLeaving() {
		live = append(live, identifier.Instance(s.Self.GetInstance()))
	}
	for name, m := range s.members {
		if !m.wire.GetSuspected() && !m.wire.GetLeaving() && !m.wire.GetGone() {
			live = append(live, identifier.Instance(name))
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i] < live[j] })
	return live
}

// tellMembers returns what the instance tells of others: those that are news,
// and a few of the rest at random.
func (s *State) tellMembers(now time.Time) []*messenger.Member {
	var fresh, rest []*messenger.Member
	for _, m := range s.members {
		if now.Sub(m.news) <= memberFresh {
			fresh = append(fresh, m.wire)
			continue
		}
		rest = append(rest, m.wire)
	}
	return append(some(fresh, freshLimit), some(rest, restLimit)...)
}

// some returns at most n members, picked at random.
func some(members []*messenger.Member, n int) []*messenger.Member {
	if len(members) <= n {
		return members
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:n]
}
