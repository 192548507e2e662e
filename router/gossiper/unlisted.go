package gossiper

import (
	"heatherhold.dev/core/messenger"
)

// SetListed records that this instance has a list of endpoints, so that it may own pools. The
// count of refutations rises, so that the others accept it at once, from whomever they hear it.
func (s *State) SetListed() {
	if !s.Self.GetUnlisted() {
		return
	}
	s.prepare()
	s.Self = merge(s.Self, s.Self, false)
	s.Self.Unlisted = false
	s.Self.Refutations++
	s.changeCount++
}

// unlisted returns whether a member has no list of endpoints, by what is known and by a report
// that is not older. At one count of refutations the flag does not change, but instances of a
// build that does not know it pass the member on without it.
func unlisted(old, m *messenger.Member) bool {
	if m.GetRefutations() > old.GetRefutations() {
		return m.GetUnlisted()
	}
	return old.GetUnlisted() || m.GetUnlisted()
}
