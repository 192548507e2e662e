package spreader

import (
	"sort"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
)

// termMargin is added to a term for clocks that run at different speeds.
const termMargin = 20 // one part in so many

// Acceptance follows one revision until it is in force at every instance that
// may still decide. It is accepted once a term has passed since the commit and
// every known instance has answered with it. The term is for a newcomer that
// read the table just before the commit and that no one knows yet: by then it
// has read the table again, has made itself known to a peer, or decides no more.
//
// One instance may be silent: when a term has passed since all others had the
// revision, it has heard from none of them in that time, or it would have the
// revision too, so it no longer decides. Two or more that are silent may be
// confirming each other.
type Acceptance struct {
	Revision identifier.Revision
	Term     time.Duration
	// Since is a time after the commit at which the asking instance had the
	// revision itself.
	Since time.Time

	known   map[string]*messenger.Member
	reached map[string]bool
	lastHad time.Time
}

// Waiting is an instance that is not known to have the revision.
type Waiting struct {
	Instance identifier.Instance `json:"instance"`
	Site     identifier.Site     `json:"site"`
}

// Know adds instances that may decide.
func (a *Acceptance) Know(members []*messenger.Member) {
	if a.known == nil {
		a.known = make(map[string]*messenger.Member)
		a.reached = make(map[string]bool)
	}
	for _, m := range members {
		old, ok := a.known[m.GetInstance()]
		if !ok || m.GetIncarnation() > old.GetIncarnation() {
			a.known[m.GetInstance()] = m
			a.reached[m.GetInstance()] = false
		}
		if m.GetGone() {
			a.known[m.GetInstance()] = merge(a.known[m.GetInstance()], m, false)
		}
	}
}

// Drop forgets the instances that are not among members: they are gone.
func (a *Acceptance) Drop(members []*messenger.Member) {
	present := make(map[string]bool)
	for _, m := range members {
		present[m.GetInstance()] = true
	}
	for name := range a.known {
		if !present[name] {
			delete(a.known, name)
		}
	}
}

// Heard notes an instance's own answer.
func (a *Acceptance) Heard(now time.Time, r *messenger.ExchangeReply) {
	a.Know([]*messenger.Member{r.GetReceiver()})
	a.Know(r.GetMembers())
	if identifier.Revision(r.GetRevision()) < a.Revision {
		return
	}
	name := r.GetReceiver().GetInstance()
	if a.known[name].GetIncarnation() == r.GetReceiver().GetIncarnation() && !a.reached[name] {
		a.reached[name] = true
		a.lastHad = now
	}
}

// Unreached returns the instances that have not answered with the revision.
func (a *Acceptance) Unreached() []*messenger.Member {
	var out []*messenger.Member
	for name, m := range a.known {
		if !a.reached[name] && !m.GetGone() {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].GetInstance() < out[j].GetInstance() })
	return out
}

// Accepted reports whether the revision is in force everywhere at now, and if
// not, who is waited for.
func (a *Acceptance) Accepted(now time.Time) (bool, []Waiting) {
	unreached := a.Unreached()
	term := a.Term + a.Term/termMargin
	settled := now.After(a.Since.Add(term))
	if len(unreached) == 0 && settled {
		return true, nil
	}
	if len(unreached) == 1 && settled && now.After(a.lastHad.Add(term)) {
		return true, nil
	}
	waiting := make([]Waiting, 0, len(unreached))
	for _, m := range unreached {
		waiting = append(waiting, Waiting{
			Instance: identifier.Instance(m.GetInstance()),
			Site:     identifier.Site(m.GetSite()),
		})
	}
	return false, waiting
}
