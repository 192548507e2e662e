package gossiper

import (
	"sort"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
)

// termMarginDivisor sets the margin for clocks that run at different speeds:
// 1/termMarginDivisor of a term is added to the term.
const termMarginDivisor = 20

// Acceptance tracks one revision until it is in force at every instance that is
// still confirmed, that is, allowed to act on its configuration. The revision is
// accepted once a term has passed since the commit and every known instance has
// replied with that revision or a later one. The term covers a new instance that
// read the table just before the commit and is not yet known to any other: by
// its end the new instance has read the table again, is known to a peer, or is
// no longer confirmed.
//
// One instance may fail to reply. Once a term has passed since all others had
// the revision, that instance is no longer confirmed: if it had exchanged with
// any of them within the term, it would have the revision too. Two or more such
// instances prevent acceptance, because they may be confirming each other.
type Acceptance struct {
	Revision identifier.Revision
	Term     time.Duration
	// Since is a time after the commit at which the instance that tracks the
	// revision had it.
	Since time.Time

	tracked     map[string]*messenger.Member
	hasRevision map[string]bool
	// lastAdded is when an instance was last added to hasRevision.
	lastAdded time.Time
}

// Waiting is an instance that is not known to have the revision.
type Waiting struct {
	Instance identifier.Instance `json:"instance"`
	Site     identifier.Site     `json:"site"`
}

// AddMembers adds instances that may be confirmed.
func (a *Acceptance) AddMembers(members []*messenger.Member) {
	if a.tracked == nil {
		a.tracked = make(map[string]*messenger.Member)
		a.hasRevision = make(map[string]bool)
	}
	for _, m := range members {
		old, ok := a.tracked[m.GetInstance()]
		if !ok || m.GetIncarnation() > old.GetIncarnation() {
			a.tracked[m.GetInstance()] = m
			a.hasRevision[m.GetInstance()] = false
		}
		if m.GetGone() {
			a.tracked[m.GetInstance()] = merge(a.tracked[m.GetInstance()], m, false)
		}
	}
}

// RemoveAbsent removes the instances that are not in members, because they are gone.
func (a *Acceptance) RemoveAbsent(members []*messenger.Member) {
	present := make(map[string]bool)
	for _, m := range members {
		present[m.GetInstance()] = true
	}
	for name := range a.tracked {
		if !present[name] {
			delete(a.tracked, name)
		}
	}
}

// RecordReply records an instance's reply to an exchange.
func (a *Acceptance) RecordReply(now time.Time, r *messenger.ExchangeReply) {
	a.AddMembers([]*messenger.Member{r.GetReceiver()})
	a.AddMembers(r.GetMembers())
	if identifier.Revision(r.GetRevision()) < a.Revision {
		return
	}
	name := r.GetReceiver().GetInstance()
	if a.tracked[name].GetIncarnation() == r.GetReceiver().GetIncarnation() && !a.hasRevision[name] {
		a.hasRevision[name] = true
		a.lastAdded = now
	}
}

// Pending returns the instances that have not replied with the revision,
// sorted by name.
func (a *Acceptance) Pending() []*messenger.Member {
	var out []*messenger.Member
	for name, m := range a.tracked {
		if !a.hasRevision[name] && !m.GetGone() {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetInstance() < out[j].GetInstance() })
	return out
}

// Accepted reports whether the revision is in force everywhere at now, and if
// not, which instances have not replied with it.
func (a *Acceptance) Accepted(now time.Time) (bool, []Waiting) {
	pending := a.Pending()
	term := a.Term + a.Term/termMarginDivisor
	termElapsed := now.After(a.Since.Add(term))
	if len(pending) == 0 && termElapsed {
		return true, nil
	}
	if len(pending) == 1 && termElapsed && now.After(a.lastAdded.Add(term)) {
		return true, nil
	}
	waiting := make([]Waiting, 0, len(pending))
	for _, m := range pending {
		waiting = append(waiting, Waiting{
			Instance: identifier.Instance(m.GetInstance()),
			Site:     identifier.Site(m.GetSite()),
		})
	}
	return false, waiting
}
