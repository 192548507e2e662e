package gossiper

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/assigner"
)

// removalTerms is how many terms must pass since the last contact with a member,
// and since the platform's list first lacked it, before the member is removed.
const removalTerms = 3

// forgetTerms is how many terms a member of a platform with an unproven list is remembered
// after it fell silent. Until then it may still run and use its share of what is limited.
const forgetTerms = 10

// suspicionGraceDivisor sets how long a member's own message protects it from
// suspicion reported by other instances: a term divided by it.
const suspicionGraceDivisor = 4

// recordContact records a message that the member sent itself.
func (s *State) recordContact(now time.Time, m *messenger.Member) {
	s.recordMember(now, m, true)
}

// mergeReport merges a peer's report about other members and about marks.
func (s *State) mergeReport(now time.Time, members []*messenger.Member, marks []*messenger.Mark) {
	for _, m := range members {
		s.recordMember(now, m, false)
	}
	for _, m := range marks {
		s.Mark(now, incarnationOf(m))
	}
}

// recordMember merges one report about a member. The report is direct if the
// member sent it itself.
func (s *State) recordMember(now time.Time, m *messenger.Member, direct bool) {
	name := m.GetInstance()
	if name == s.Self.GetInstance() {
		s.refute(m)
		return
	}
	if name == "" {
		return
	}
	old, ok := s.members[name]
	switch {
	case !ok:
		if !direct && (m.GetGone() || s.Unproven && m.GetSuspected()) {
			return
		}
		s.members[name] = &member{
			wire:        m,
			lastContact: now,
			lastChanged: now,
		}
		s.changeCount++
	case m.GetIncarnation() > old.wire.GetIncarnation():
		old.wire = m
		old.lastContact = now
		old.lastChanged = now
		old.missingSince = time.Time{}
		s.changeCount++
	case m.GetIncarnation() < old.wire.GetIncarnation():
	default:
		if direct {
			old.lastContact = now
		}
		s.updateMember(now, old, m, direct)
	}
}

// Succeed makes this instance's incarnation higher than one that it had before, if it is not
// yet: the clock may have stepped back since. Others ignore a lower one for ever. One that is
// not believed anywhere is not succeeded.
func (s *State) Succeed(earlier uint64) {
	if earlier < s.Self.GetIncarnation() || earlier >= messenger.MaxIncarnation {
		return
	}
	s.Self = merge(s.Self, s.Self, false)
	s.Self.Incarnation = earlier + 1
	s.Self.Refutations = 0
}

// refute answers a report that this instance is suspected: the count of refutations
// rises, and the other instances pass the higher count on to each other. Without it a
// suspicion would end only at those that this instance itself exchanges with, and they
// would take it up again from the others. A report of a later incarnation is of a process
// before this one.
func (s *State) refute(report *messenger.Member) {
	if report.GetIncarnation() > s.Self.GetIncarnation() {
		s.Succeed(report.GetIncarnation())
		return
	}
	if !report.GetSuspected() || report.GetIncarnation() != s.Self.GetIncarnation() || report.GetRefutations() < s.Self.GetRefutations() {
		return
	}
	s.Self = merge(s.Self, s.Self, false)
	s.Self.Refutations = report.GetRefutations() + 1
}

// Suspect records that a member did not reply. The suspicion is sent to other
// instances and ends when a message from the member itself arrives.
func (s *State) Suspect(now time.Time, name string) {
	m, ok := s.members[name]
	if !ok || m.wire.GetSuspected() {
		return
	}
	m.wire = merge(m.wire, m.wire, true)
	m.lastChanged = now
	s.changeCount++
}

// Suspects returns the suspected members, sorted by name.
func (s *State) Suspects() []*messenger.Member {
	var out []*messenger.Member
	for _, m := range s.Members() {
		if m.GetSuspected() {
			out = append(out, m)
		}
	}
	return out
}

// updateMember merges a report about the incarnation that is already recorded.
func (s *State) updateMember(now time.Time, old *member, m *messenger.Member, direct bool) {
	if m.GetRefutations() < old.wire.GetRefutations() {
		return
	}
	refuted := m.GetRefutations() > old.wire.GetRefutations()
	suspected := old.wire.GetSuspected() && !direct && !refuted
	// A report by another instance makes a member suspected only if the member
	// has not sent a message recently.
	if m.GetSuspected() && !direct && now.Sub(old.lastContact) > s.Term/suspicionGraceDivisor {
		suspected = true
	}
	merged := merge(old.wire, m, suspected)
	if !sameReport(merged, old.wire) {
		old.wire = merged
		old.lastChanged = now
		s.changeCount++
	}
}

// sameReport reports whether two reports about one incarnation say the same.
func sameReport(a, b *messenger.Member) bool {
	return a.GetSuspected() == b.GetSuspected() &&
		a.GetLeaving() == b.GetLeaving() &&
		a.GetGone() == b.GetGone() &&
		a.GetAddress() == b.GetAddress() &&
		a.GetProcessor() == b.GetProcessor() &&
		a.GetUnlisted() == b.GetUnlisted() &&
		a.GetRefutations() == b.GetRefutations()
}

// merge returns m with the given suspicion. Leaving and gone are final for an
// incarnation, so they stay set if old has them.
func merge(old, m *messenger.Member, suspected bool) *messenger.Member {
	return &messenger.Member{
		Suspected:   suspected,
		Instance:    m.GetInstance(),
		Address:     m.GetAddress(),
		Site:        m.GetSite(),
		Incarnation: m.GetIncarnation(),
		Processor:   max(old.GetProcessor(), m.GetProcessor()),
		Refutations: max(old.GetRefutations(), m.GetRefutations()),
		Leaving:     old.GetLeaving() || m.GetLeaving(),
		Gone:        old.GetGone() || m.GetGone(),
		Unlisted:    unlisted(old, m),
	}
}

// UpdateListed merges the platform's list of router instances, read at now. It
// removes a member that has been missing from the list, and without contact, for
// more than removalTerms terms.
func (s *State) UpdateListed(now time.Time, list []*messenger.Member) {
	s.prepare()
	s.listReadAt = now
	if s.Unproven {
		s.forgetSilent(now)
		return
	}
	inList := make(map[string]bool)
	for _, m := range list {
		inList[m.GetInstance()] = true
		s.recordMember(now, m, false)
	}
	for name, m := range s.members {
		if inList[name] {
			m.missingSince = time.Time{}
			continue
		}
		if m.missingSince.IsZero() {
			m.missingSince = now
		}
		expired := now.Sub(m.lastContact) > removalTerms*s.Term && now.Sub(m.missingSince) > removalTerms*s.Term
		if expired {
			delete(s.members, name)
			s.changeCount++
		}
	}
}

// forgetSilent removes the members that have been suspected or gone for more than
// forgetTerms terms. One that lives after all is a member again once it is heard from.
func (s *State) forgetSilent(now time.Time) {
	for name, m := range s.members {
		silent := m.wire.GetSuspected() || m.wire.GetGone()
		if silent && now.Sub(m.lastChanged) > forgetTerms*s.Term {
			delete(s.members, name)
			s.changeCount++
		}
	}
}

// Heard reports whether an instance is a member: it was heard from, and not silent for long
// since.
func (s *State) Heard(name string) bool {
	_, ok := s.members[name]
	return ok
}

// KnowsAllMembers reports whether the instance knows every other instance that may
// be confirmed. It does once it has read the platform's list after its own
// establishment time: by then the list has every instance that is older than
// this one and may therefore have an older revision.
func (s *State) KnowsAllMembers() bool {
	return s.listReadAt.Sub(s.StartedAt) >= establishTerms*s.Term
}

// Members returns the other instances that are not gone, sorted by name.
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

// Live returns the live instances, this one included, sorted by name: those that
// are not leaving, gone or suspected.
func (s *State) Live() []identifier.Instance {
	var live []identifier.Instance
	for _, m := range s.liveMembers() {
		live = append(live, identifier.Instance(m.GetInstance()))
	}
	return live
}

// Candidates returns the live instances as candidates for the ownership of pools,
// sorted by name.
func (s *State) Candidates() []assigner.Candidate {
	var candidates []assigner.Candidate
	for _, m := range s.liveMembers() {
		candidates = append(candidates, assigner.Candidate{
			Instance:  identifier.Instance(m.GetInstance()),
			Site:      identifier.Site(m.GetSite()),
			Processor: m.GetProcessor(),
			Unlisted:  m.GetUnlisted(),
		})
	}
	return candidates
}

func (s *State) liveMembers() []*messenger.Member {
	var live []*messenger.Member
	if !s.Self.GetLeaving() {
		live = append(live, s.Self)
	}
	for _, m := range s.members {
		if !m.wire.GetSuspected() && !m.wire.GetLeaving() && !m.wire.GetGone() {
			live = append(live, m.wire)
		}
	}
	slices.SortFunc(live, func(a, b *messenger.Member) int { return cmp.Compare(a.GetInstance(), b.GetInstance()) })
	return live
}

// withKnown returns members and, if a later incarnation of the sender is known than the one
// that sent, the sender's: so it learns that it has to succeed it.
func (s *State) withKnown(members []*messenger.Member, sender *messenger.Member) []*messenger.Member {
	known, ok := s.members[sender.GetInstance()]
	if !ok || known.wire.GetIncarnation() <= sender.GetIncarnation() || slices.Contains(members, known.wire) {
		return members
	}
	return append(members, known.wire)
}

// membersToSend returns the members to include in a message: of those that changed
// within the last memberSendPeriod the newest and a random sample, and a random sample
// of the others.
func (s *State) membersToSend(now time.Time) []*messenger.Member {
	var recent []*member
	var others []*messenger.Member
	for _, m := range s.members {
		if now.Sub(m.lastChanged) <= memberSendPeriod {
			recent = append(recent, m)
			continue
		}
		others = append(others, m.wire)
	}
	slices.SortFunc(recent, func(a, b *member) int { return b.lastChanged.Compare(a.lastChanged) })
	newest := recent[:min(newestLimit, len(recent))]
	var out, older []*messenger.Member
	for _, m := range newest {
		out = append(out, m.wire)
	}
	for _, m := range recent[len(newest):] {
		older = append(older, m.wire)
	}
	out = append(out, sample(older, recentLimit-newestLimit)...)
	return append(out, sample(others, sampleLimit)...)
}

// sample returns at most n members, picked at random.
func sample(members []*messenger.Member, n int) []*messenger.Member {
	if len(members) <= n {
		return members
	}
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:n]
}
