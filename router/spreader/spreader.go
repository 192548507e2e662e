// Package spreader holds one instance's configuration and what it knows of the
// other instances, and says what two instances tell each other. It is pure:
// the caller gives the time and carries the messages.
//
// An instance only ever moves to a higher revision. It may decide while it is
// confirmed: for one term after it sent an exchange that a confirmed peer
// answered, or a read that the table answered, and by which it came to at least
// the answerer's revision. An answer counts from when its question was sent, so
// that a pause on the way makes the term shorter and never longer.
//
// An instance that is younger than the establishment time takes over only what
// is left of its peer's term and confirms no one. Without that rule a lone
// instance that is cut off and a newcomer beside it would confirm each other
// for ever, with no other instance knowing that the newcomer exists.
package spreader

import (
	"sort"
	"time"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
)

// Bounds of what is kept and sent.
const (
	// logLimit is how many changes are kept for peers that are behind.
	logLimit = 4096
	// memberFresh is how long what is new of a member is told to every peer.
	memberFresh = 30 * time.Second
	// freshLimit is how many members one message tells of that are news, and
	// restLimit how many of the rest.
	freshLimit = 32
	restLimit  = 4
	// markFresh is how long a new mark is told to every peer.
	markFresh = 30 * time.Second
	// markLife is how long a mark is kept.
	markLife = 24 * time.Hour
	// establishTerms is the establishment time, in terms.
	establishTerms = 4
)

// State is one instance's configuration and membership. Set the exported
// fields before the first call.
type State struct {
	Self *messenger.Member
	Term time.Duration
	Born time.Time

	revision  identifier.Revision
	document  declarer.Document
	log       []*messenger.Change
	confirmed time.Time
	members   map[string]*member
	marks     map[identifier.Life]time.Time
	edits     uint64
	// listed is when the platform's list was last read.
	listed time.Time
}

// Edits counts the changes of configuration, members and marks, so that a
// reader knows whether there is anything new.
func (s *State) Edits() uint64 {
	return s.edits
}

type member struct {
	wire  *messenger.Member
	heard time.Time
	// news is when something about the member was last new.
	news time.Time
	// delisted is when the platform's list last lacked the member; zero if it does not.
	delisted time.Time
}

func (s *State) prepare() {
	if s.members != nil {
		return
	}
	s.members = make(map[string]*member)
	s.marks = make(map[identifier.Life]time.Time)
	s.document = make(declarer.Document)
}

// Revision returns the revision in force; 0 before there is one.
func (s *State) Revision() identifier.Revision {
	return s.revision
}

// Document returns the declarations in force. It must not be changed.
func (s *State) Document() declarer.Document {
	return s.document
}

// ConfirmedUntil returns until when the instance may decide by its revision.
func (s *State) ConfirmedUntil() time.Time {
	if s.revision == 0 {
		return time.Time{}
	}
	return s.confirmed
}

// Confirmed reports whether the instance may decide by its revision at now.
func (s *State) Confirmed(now time.Time) bool {
	return now.Before(s.ConfirmedUntil())
}

// Established reports whether the instance's word may confirm others.
func (s *State) Established(now time.Time) bool {
	return now.Sub(s.Born) >= establishTerms*s.Term
}

// Apply makes the changes that follow the revision in force and ignores others.
func (s *State) Apply(changes []*messenger.Change) {
	s.prepare()
	for _, c := range changes {
		if identifier.Revision(c.GetRevision()) != s.revision+1 {
			continue
		}
		s.document = s.document.Apply(ChangeOf(c.GetEntries()))
		s.revision++
		s.edits++
		s.log = append(s.log, c)
	}
	if excess := len(s.log) - logLimit; excess > 0 {
		s.log = append([]*messenger.Change(nil), s.log[excess:]...)
	}
}

// Restore moves to a snapshot if it is newer than the revision in force.
func (s *State) Restore(c *messenger.Change) {
	s.prepare()
	if identifier.Revision(c.GetRevision()) <= s.revision {
		return
	}
	s.document = make(declarer.Document).Apply(ChangeOf(c.GetEntries()))
	s.revision = identifier.Revision(c.GetRevision())
	s.log = nil
	s.edits++
}

// Snapshot returns the whole configuration as one change.
func (s *State) Snapshot() *messenger.Change {
	return &messenger.Change{
		Revision: uint64(s.revision),
		Entries:  EntriesOf(declarer.Change(s.document)),
	}
}

// Since returns the changes after a revision; ok is false if they are not kept.
func (s *State) Since(r identifier.Revision) (changes []*messenger.Change, ok bool) {
	if r >= s.revision {
		return nil, true
	}
	first := s.revision - identifier.Revision(len(s.log))
	if r < first {
		return nil, false
	}
	return s.log[r-first:], true
}

// TableRead notes that the table, asked at sent, held head and no later revision.
func (s *State) TableRead(sent time.Time, head identifier.Revision) {
	if s.revision >= head {
		s.confirm(sent.Add(s.Term))
	}
}

func (s *State) confirm(until time.Time) {
	if until.After(s.confirmed) {
		s.confirmed = until
	}
}

// Request returns what the instance tells a peer at the start of an exchange.
// Changes after known, the revision that the peer has, are added where kept.
func (s *State) Request(now time.Time, known identifier.Revision) *messenger.ExchangeRequest {
	s.prepare()
	changes, _ := s.Since(known)
	return &messenger.ExchangeRequest{
		Sender:      s.Self,
		Revision:    uint64(s.revision),
		ConfirmedMs: s.left(now),
		Members:     s.tellMembers(now),
		Marks:       s.tellMarks(now),
		Changes:     changes,
	}
}

func (s *State) left(now time.Time) int64 {
	return max(s.ConfirmedUntil().Sub(now).Milliseconds(), 0)
}

// Answer takes a peer's request in and returns the reply. A request confirms
// nothing: it may have been long on its way.
func (s *State) Answer(now time.Time, r *messenger.ExchangeRequest) *messenger.ExchangeReply {
	s.prepare()
	s.hear(now, r.GetSender())
	s.learn(now, r.GetMembers(), r.GetMarks())
	s.Apply(r.GetChanges())
	reply := &messenger.ExchangeReply{
		Receiver:    s.Self,
		Revision:    uint64(s.revision),
		ConfirmedMs: s.left(now),
		Established: s.Established(now),
		Members:     s.tellMembers(now),
		Marks:       s.tellMarks(now),
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

// Receive takes in the reply to a request that was sent at sent.
func (s *State) Receive(sent, now time.Time, r *messenger.ExchangeReply) {
	s.prepare()
	s.hear(now, r.GetReceiver())
	s.learn(now, r.GetMembers(), r.GetMarks())
	if r.GetSnapshot() != nil {
		s.Restore(r.GetSnapshot())
	}
	s.Apply(r.GetChanges())
	if s.revision < identifier.Revision(r.GetRevision()) || r.GetConfirmedMs() <= 0 {
		return
	}
	if !s.Established(now) {
		left := time.Duration(r.GetConfirmedMs()) * time.Millisecond
		s.confirm(sent.Add(min(left, s.Term)))
		return
	}
	if r.GetEstablished() {
		s.confirm(sent.Add(s.Term))
	}
}

// ChangeOf returns wire entries as a change of declarations.
func ChangeOf(entries []*messenger.Entry) declarer.Change {
	c := make(declarer.Change, len(entries))
	for _, e := range entries {
		c[declarer.Key(e.GetKey())] = e.GetValue()
	}
	return c
}

// EntriesOf returns a change as wire entries, in order.
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

// Mark notes that a life is leaving; it reports whether that is news.
func (s *State) Mark(now time.Time, l identifier.Life) bool {
	s.prepare()
	if _, ok := s.marks[l]; ok {
		return false
	}
	s.marks[l] = now
	s.edits++
	for old, at := range s.marks {
		if now.Sub(at) > markLife {
			delete(s.marks, old)
		}
	}
	return true
}

// Marked reports whether a life is known to leave.
func (s *State) Marked(l identifier.Life) bool {
	_, ok := s.marks[l]
	return ok
}

// Marks returns every life that is known to leave.
func (s *State) Marks() []identifier.Life {
	lives := make([]identifier.Life, 0, len(s.marks))
	for l := range s.marks {
		lives = append(lives, l)
	}
	sort.Slice(lives, func(i, j int) bool { return lives[i].String() < lives[j].String() })
	return lives
}

func (s *State) tellMarks(now time.Time) []*messenger.Mark {
	var marks []*messenger.Mark
	for _, m := range s.allMarks() {
		if now.Sub(s.marks[lifeOf(m)]) <= markFresh {
			marks = append(marks, m)
		}
	}
	return marks
}

func (s *State) allMarks() []*messenger.Mark {
	marks := make([]*messenger.Mark, 0, len(s.marks))
	for _, l := range s.Marks() {
		marks = append(marks, &messenger.Mark{
			Endpoint:    string(l.Endpoint),
			Incarnation: uint64(l.Incarnation),
		})
	}
	return marks
}

func lifeOf(m *messenger.Mark) identifier.Life {
	return identifier.Life{
		Endpoint:    identifier.Endpoint(m.GetEndpoint()),
		Incarnation: identifier.Incarnation(m.GetIncarnation()),
	}
}

// Invalid takes the right to decide away: the revision in force can't be used.
func (s *State) Invalid() {
	s.confirmed = time.Time{}
}
