package quarantiner

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
)

const (
	// namedParts is how many keys of a request get a record after one crash. Of the parts behind them
	// a sighting is kept until a second endpoint crashes under the same part: nearly all parts of
	// a prompt that has many are its own and are never seen again.
	namedParts = 32
	// maxSightings limits the parts that are sighted.
	maxSightings = 64 << 10
	// maxSentHashes limits the parts of sightings in one message, unless one request has more.
	maxSentHashes = 4096
	// maxSightedCrashes limits the crashes under which they are.
	maxSightedCrashes = 1024
	// maxReports limits the reports of own sightings that are kept to be sent.
	maxReports = 64
)

// sighting is a part under which one endpoint crashed.
type sighting struct {
	// name is empty if a peer reported the part.
	name identifier.Part
	// crash is the number of the crash.
	crash uint32
}

// sightedCrash is a crash under which parts were sighted.
type sightedCrash struct {
	number      uint32
	incarnation identifier.EndpointIncarnation
	at          time.Time
}

// sightings holds the parts under which one endpoint crashed, by the hashes of their names.
type sightings struct {
	parts map[uint64]sighting
	// crashes are the crashes from the oldest; their numbers are consecutive.
	crashes []sightedCrash
	next    uint32
	// reports are the own sightings that peers are told of.
	reports []*sightingReport
	// dropped counts the parts that were forgotten, or not taken, for want of room.
	dropped int
}

// sightingReport is what peers are told of one request and one crash.
type sightingReport struct {
	crash  sightedCrash
	hashes []uint64
	madeAt time.Time
	// sent is when the report was last sent to which peer.
	sent map[identifier.Instance]time.Time
}

// hashOf returns the hash that stands for a part in sightings.
func hashOf(part Key) uint64 {
	return xxhash.Sum64String(part.Name)
}

// crash returns the crash of an endpoint, which it adds if needed.
func (s *sightings) crash(incarnation identifier.EndpointIncarnation, at time.Time) sightedCrash {
	for _, c := range s.crashes {
		if c.incarnation == incarnation {
			return c
		}
	}
	if len(s.crashes) >= maxSightedCrashes {
		s.dropOldest()
	}
	s.next++
	c := sightedCrash{
		number:      s.next,
		incarnation: incarnation,
		at:          at,
	}
	s.crashes = append(s.crashes, c)
	return c
}

// add adds a part that was sighted under a crash. The oldest crashes make room for it.
func (s *sightings) add(c sightedCrash, hash uint64, name identifier.Part) {
	for len(s.parts) >= maxSightings {
		if s.crashes[0].number == c.number {
			s.dropped++
			return
		}
		s.dropOldest()
	}
	if s.parts == nil {
		s.parts = make(map[uint64]sighting)
	}
	s.parts[hash] = sighting{
		name:  name,
		crash: c.number,
	}
}

// dropOldest forgets the parts of the oldest crash.
func (s *sightings) dropOldest() {
	oldest := s.crashes[0].number
	s.crashes = s.crashes[1:]
	for hash, part := range s.parts {
		if part.crash == oldest {
			delete(s.parts, hash)
			s.dropped++
		}
	}
}

// crashOf returns the crash under which a part was sighted; false if there is none.
func (s *sightings) crashOf(part sighting) (sightedCrash, bool) {
	if len(s.crashes) == 0 || part.crash < s.crashes[0].number {
		return sightedCrash{}, false
	}
	return s.crashes[part.crash-s.crashes[0].number], true
}

// take removes a part and returns the crash under which it was sighted; false if there is none.
func (s *sightings) take(hash uint64) (sightedCrash, bool) {
	part, ok := s.parts[hash]
	if !ok {
		return sightedCrash{}, false
	}
	delete(s.parts, hash)
	return s.crashOf(part)
}

// expire forgets the crashes that are too long ago.
func (s *sightings) expire(now time.Time) {
	for len(s.crashes) > 0 && now.Sub(s.crashes[0].at) > retention {
		s.dropOldest()
	}
	s.reports = slices.DeleteFunc(s.reports, func(r *sightingReport) bool { return now.Sub(r.madeAt) > newsPeriod })
}

// recordSightings records that an endpoint crashed under parts, which have no record and are not
// sighted under another crash. It reports whether peers should learn of it.
func (q *Quarantiner) recordSightings(now time.Time, incarnation identifier.EndpointIncarnation, parts []Key) bool {
	s := &q.sightings
	report := &sightingReport{
		crash:  s.crash(incarnation, now),
		madeAt: now,
		sent:   make(map[identifier.Instance]time.Time),
	}
	for _, part := range parts {
		hash := hashOf(part)
		if _, ok := s.parts[hash]; ok {
			continue
		}
		s.add(report.crash, hash, identifier.Part(part.Name))
		report.hashes = append(report.hashes, hash)
	}
	if len(report.hashes) == 0 {
		return false
	}
	if len(s.reports) >= maxReports {
		s.reports = s.reports[1:]
	}
	s.reports = append(s.reports, report)
	return true
}

// sightedElsewhere reports whether a part is sighted under the crash of another endpoint.
func (q *Quarantiner) sightedElsewhere(part Key, incarnation identifier.EndpointIncarnation) bool {
	sighted, ok := q.sightings.parts[hashOf(part)]
	if !ok {
		return false
	}
	c, ok := q.sightings.crashOf(sighted)
	return ok && c.incarnation != incarnation
}

// clearSightings forgets parts under which a request was answered.
func (q *Quarantiner) clearSightings(keys []Key) {
	if len(q.sightings.parts) == 0 {
		return
	}
	for _, key := range keys {
		if key.Scope == SharedPart {
			delete(q.sightings.parts, hashOf(key))
		}
	}
}

// sightingsFor returns the reports that a peer has not got.
func (q *Quarantiner) sightingsFor(now time.Time, to identifier.Instance) []*messenger.PartSightings {
	var out []*messenger.PartSightings
	n := 0
	for _, r := range q.sightings.reports {
		sentAt, sent := r.sent[to]
		got := sent && !q.delivered[to].at.Before(sentAt)
		if got || (!sent && len(r.sent) >= maxForwards) || (n > 0 && n+len(r.hashes) > maxSentHashes) {
			continue
		}
		r.sent[to] = now
		n += len(r.hashes)
		out = append(out, &messenger.PartSightings{
			Crash:  wireCrash(now, r.crash.incarnation, r.crash.at),
			Hashes: r.hashes,
		})
	}
	return out
}

// mergeSightings merges a peer's report. A part that this instance sighted under the crash of another
// endpoint gets a record. It reports whether one did.
func (q *Quarantiner) mergeSightings(now time.Time, m *messenger.PartSightings) bool {
	crashAge := age(m.GetCrash().GetAgeMs())
	if m.GetCrash() == nil || len(m.GetHashes()) > maxSightings {
		q.Log.WithField("parts", len(m.GetHashes())).Warn("report of sightings set aside")
		return false
	}
	if crashAge > retention {
		return false
	}
	s := &q.sightings
	at := now.Add(-crashAge)
	incarnation := incarnationOf(m.GetCrash().GetEndpoint())
	q.crashed.add(at, incarnation)
	c := s.crash(incarnation, at)
	news := false
	for _, hash := range m.GetHashes() {
		known, ok := s.parts[hash]
		switch {
		case !ok:
			s.add(c, hash, "")
		case known.crash != c.number && known.name != "":
			r := q.record(now, PartKey(known.name))
			news = r != nil && r.addCrash(incarnation, at) || news
		}
	}
	return news
}
