// Package gossiper holds one instance's configuration and its view of the other
// instances, and builds and applies the messages that two instances exchange. It
// does no I/O and reads no clock: the caller supplies the time and carries the
// messages.
//
// An instance only ever moves to a higher revision. It may act on its
// configuration only while it is confirmed: for one term after it sent an
// exchange request to which a confirmed peer replied, or a read to which the table
// responded, provided that the response brought it to at least the revision of the
// peer or table. The term starts when the request is sent, not when the response
// arrives, so that a delay in transit shortens the term and never extends it.
//
// An instance that is younger than the establishment time is confirmed by a peer
// only for the rest of that peer's term, and its own replies start no new term
// at other instances. Without this rule a single instance that is cut off from
// the others and a new instance that reaches only it would confirm each other
// for ever, while no other instance knows that the new one exists.
package gossiper

import (
	"sort"
	"time"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
)

// Limits on what is kept and sent, and the establishment time.
const (
	// changeLogLimit is how many changes are kept for peers with an older revision.
	changeLogLimit = 4096
	// memberSendPeriod is how long after a change a member is sent to every peer.
	memberSendPeriod = 30 * time.Second
	// recentLimit is how many recently changed members one message includes: the
	// newestLimit newest ones, so that a loss spreads at once also after a start of the
	// whole fleet, and a sample of the rest. sampleLimit is how many of the others it
	// includes.
	recentLimit = 32
	newestLimit = 16
	sampleLimit = 4
	// markSendPeriod is how long after it is made a mark is sent to every peer.
	markSendPeriod = 30 * time.Second
	// markRetention is the minimum time for which a mark is kept.
	markRetention = 24 * time.Hour
	// establishTerms is the establishment time, in terms: the age from which an
	// instance is established.
	establishTerms = 4
)

// State is one instance's configuration and membership. Set the exported
// fields before the first call.
type State struct {
	Self *messenger.Member
	Term time.Duration
	// StartedAt is when the instance started.
	StartedAt time.Time
	// Unproven is set if the platform's list may name instances that are gone for long. Its
	// entries are no members then: a member is who was heard from, by this instance or by
	// one that tells of it.
	Unproven bool

	revision       identifier.Revision
	document       declarer.Document
	changeLog      []*messenger.Change
	confirmedUntil time.Time
	members        map[string]*member
	marks          map[identifier.EndpointIncarnation]time.Time
	changeCount    uint64
	// listReadAt is when the platform's list was last read.
	listReadAt time.Time
}

// ChangeCount returns the number of changes of configuration, members and marks so
// far, so that a caller can see whether anything has changed.
func (s *State) ChangeCount() uint64 {
	return s.changeCount
}

// member is the state kept about another instance.
type member struct {
	// wire is the member as it is sent to peers.
	wire *messenger.Member
	// lastContact is when the member itself last sent a message or, before that,
	// when its incarnation was first reported.
	lastContact time.Time
	// lastChanged is when the member was added or last changed.
	lastChanged time.Time
	// missingSince is since when the member has been missing from the platform's
	// list; zero if it is not missing.
	missingSince time.Time
}

// prepare allocates the maps on first use.
func (s *State) prepare() {
	if s.members != nil {
		return
	}
	s.members = make(map[string]*member)
	s.marks = make(map[identifier.EndpointIncarnation]time.Time)
	s.document = make(declarer.Document)
}

// Revision returns the revision in force, or 0 if there is none yet.
func (s *State) Revision() identifier.Revision {
	return s.revision
}

// Document returns the declarations in force. The caller must not modify them.
func (s *State) Document() declarer.Document {
	return s.document
}

// ConfirmedUntil returns the time until which the instance may act on its
// revision.
func (s *State) ConfirmedUntil() time.Time {
	if s.revision == 0 {
		return time.Time{}
	}
	return s.confirmedUntil
}

// Confirmed reports whether the instance may act on its revision at now.
func (s *State) Confirmed(now time.Time) bool {
	return now.Before(s.ConfirmedUntil())
}

// Established reports whether the instance's replies may start a new term at
// other instances.
func (s *State) Established(now time.Time) bool {
	return now.Sub(s.StartedAt) >= establishTerms*s.Term
}

// Apply applies the changes that directly follow the revision in force and
// ignores the others.
func (s *State) Apply(changes []*messenger.Change) {
	s.prepare()
	for _, c := range changes {
		if identifier.Revision(c.GetRevision()) != s.revision+1 {
			continue
		}
		s.document = s.document.Apply(ChangeOf(c.GetEntries()))
		s.revision++
		s.changeCount++
		s.changeLog = append(s.changeLog, c)
	}
	if excess := len(s.changeLog) - changeLogLimit; excess > 0 {
		s.changeLog = append([]*messenger.Change(nil), s.changeLog[excess:]...)
	}
}

// Restore replaces the configuration by a snapshot if the snapshot is newer than
// the revision in force.
func (s *State) Restore(c *messenger.Change) {
	s.prepare()
	if identifier.Revision(c.GetRevision()) <= s.revision {
		return
	}
	s.document = make(declarer.Document).Apply(ChangeOf(c.GetEntries()))
	s.revision = identifier.Revision(c.GetRevision())
	s.changeLog = nil
	s.changeCount++
}

// Snapshot returns the whole configuration as one change.
func (s *State) Snapshot() *messenger.Change {
	return &messenger.Change{
		Revision: uint64(s.revision),
		Entries:  EntriesOf(declarer.Change(s.document)),
	}
}

// Since returns the changes after revision r; ok is false if they are no longer
// kept.
func (s *State) Since(r identifier.Revision) (changes []*messenger.Change, ok bool) {
	if r >= s.revision {
		return nil, true
	}
	first := s.revision - identifier.Revision(len(s.changeLog))
	if r < first {
		return nil, false
	}
	return s.changeLog[r-first:], true
}

// RecordTableRead records that a read of the table, sent at sentAt, returned head as
// the latest revision. It confirms the instance for one term from sentAt if the
// instance has that revision.
func (s *State) RecordTableRead(sentAt time.Time, head identifier.Revision) {
	if s.revision >= head {
		s.confirm(sentAt.Add(s.Term))
	}
}

func (s *State) confirm(until time.Time) {
	if until.After(s.confirmedUntil) {
		s.confirmedUntil = until
	}
}

// Request returns the message that the instance sends to a peer to start an
// exchange. It includes the changes after peerRevision if they are still kept.
func (s *State) Request(now time.Time, peerRevision identifier.Revision) *messenger.ExchangeRequest {
	s.prepare()
	changes, _ := s.Since(peerRevision)
	return &messenger.ExchangeRequest{
		Sender:      s.Self,
		Revision:    uint64(s.revision),
		ConfirmedMs: s.remainingMs(now),
		Members:     s.membersToSend(now),
		Marks:       s.marksToSend(now),
		Changes:     changes,
	}
}

// remainingMs returns the rest of the term in milliseconds.
func (s *State) remainingMs(now time.Time) int64 {
	return max(s.ConfirmedUntil().Sub(now).Milliseconds(), 0)
}

// HandleRequest applies a peer's request and returns the reply. A request does not
// confirm the instance, because it may have been delayed in transit.
func (s *State) HandleRequest(now time.Time, r *messenger.ExchangeRequest) *messenger.ExchangeReply {
	s.prepare()
	s.recordContact(now, r.GetSender())
	s.mergeReport(now, r.GetMembers(), r.GetMarks())
	s.Apply(r.GetChanges())
	reply := &messenger.ExchangeReply{
		Receiver:    s.Self,
		Revision:    uint64(s.revision),
		ConfirmedMs: s.remainingMs(now),
		Established: s.Established(now),
		Members:     s.withKnown(s.membersToSend(now), r.GetSender()),
		Marks:       s.marksToSend(now),
	}
	changes, ok := s.Since(identifier.Revision(r.GetRevision()))
	if !ok {
		reply.Snapshot = s.Snapshot()
	}
	reply.Changes = changes
	if r.GetRevision() == 0 {
		reply.Marks = s.allMarks()
	}
	return reply
}

// HandleReply applies the reply to a request that was sent at sentAt.
func (s *State) HandleReply(sentAt, now time.Time, r *messenger.ExchangeReply) {
	s.prepare()
	s.recordContact(now, r.GetReceiver())
	s.mergeReport(now, r.GetMembers(), r.GetMarks())
	if r.GetSnapshot() != nil {
		s.Restore(r.GetSnapshot())
	}
	s.Apply(r.GetChanges())
	if s.revision < identifier.Revision(r.GetRevision()) || r.GetConfirmedMs() <= 0 {
		return
	}
	if !s.Established(now) {
		remaining := time.Duration(r.GetConfirmedMs()) * time.Millisecond
		s.confirm(sentAt.Add(min(remaining, s.Term)))
		return
	}
	if r.GetEstablished() {
		s.confirm(sentAt.Add(s.Term))
	}
}

// ChangeOf converts wire entries to a change of declarations.
func ChangeOf(entries []*messenger.Entry) declarer.Change {
	c := make(declarer.Change, len(entries))
	for _, e := range entries {
		c[declarer.Key(e.GetKey())] = e.GetValue()
	}
	return c
}

// EntriesOf converts a change to wire entries, sorted by key.
func EntriesOf(c declarer.Change) []*messenger.Entry {
	entries := make([]*messenger.Entry, 0, len(c))
	for _, k := range c.Keys() {
		entries = append(entries, &messenger.Entry{
			Key:   string(k),
			Value: c[k],
		})
	}
	return entries
}

// Mark records that an incarnation of an endpoint is leaving, and reports whether
// the mark is new. A new mark also removes those that are older than markRetention.
func (s *State) Mark(now time.Time, incarnation identifier.EndpointIncarnation) bool {
	s.prepare()
	if _, ok := s.marks[incarnation]; ok {
		return false
	}
	s.marks[incarnation] = now
	s.changeCount++
	for old, markedAt := range s.marks {
		if now.Sub(markedAt) > markRetention {
			delete(s.marks, old)
		}
	}
	return true
}

// Marked reports whether an incarnation of an endpoint is marked as leaving.
func (s *State) Marked(incarnation identifier.EndpointIncarnation) bool {
	_, ok := s.marks[incarnation]
	return ok
}

// Marks returns every incarnation that is marked as leaving, sorted.
func (s *State) Marks() []identifier.EndpointIncarnation {
	incarnations := make([]identifier.EndpointIncarnation, 0, len(s.marks))
	for incarnation := range s.marks {
		incarnations = append(incarnations, incarnation)
	}
	sort.Slice(incarnations, func(i, j int) bool { return incarnations[i].String() < incarnations[j].String() })
	return incarnations
}

// marksToSend returns the marks that were made within the last markSendPeriod.
func (s *State) marksToSend(now time.Time) []*messenger.Mark {
	var marks []*messenger.Mark
	for _, m := range s.allMarks() {
		if now.Sub(s.marks[incarnationOf(m)]) <= markSendPeriod {
			marks = append(marks, m)
		}
	}
	return marks
}

func (s *State) allMarks() []*messenger.Mark {
	marks := make([]*messenger.Mark, 0, len(s.marks))
	for _, incarnation := range s.Marks() {
		marks = append(marks, &messenger.Mark{
			Endpoint:    string(incarnation.Endpoint),
			Incarnation: uint64(incarnation.Incarnation),
		})
	}
	return marks
}

func incarnationOf(m *messenger.Mark) identifier.EndpointIncarnation {
	return identifier.EndpointIncarnation{
		Endpoint:    identifier.Endpoint(m.GetEndpoint()),
		Incarnation: identifier.Incarnation(m.GetIncarnation()),
	}
}

// Revoke ends the instance's confirmation, because the revision in force can't
// be used.
func (s *State) Revoke() {
	s.confirmedUntil = time.Time{}
}
