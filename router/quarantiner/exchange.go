package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
)

const (
	// newsPeriod is how long after a change a record is sent to a peer that has not got it.
	newsPeriod = 10 * time.Second
	// wholeInterval is the least time between two messages with all records to peers that
	// know something else, unless a peer has just started.
	wholeInterval = time.Second
	// maxForwards is to how many peers an instance sends a change, however large the fleet is:
	// each of them sends it on.
	maxForwards = 8
	// maxSent limits the records in one message.
	maxSent = 512
)

// News returns what to send to a peer: the records that changed lately, since the last message
// that it got. Once the peer has got it, Delivered must be called.
func (q *Quarantiner) News(now time.Time, to identifier.Instance) *messenger.Quarantine {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	return q.message(now, q.newsFor(now, to))
}

// Delivered records that a peer has got the news of the given time.
func (q *Quarantiner) Delivered(newsAt time.Time, to identifier.Instance) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordDelivered(newsAt, to)
}

func (q *Quarantiner) recordDelivered(at time.Time, to identifier.Instance) {
	if q.delivered == nil {
		q.delivered = make(map[identifier.Instance]time.Time)
	}
	maps.DeleteFunc(q.delivered, func(_ identifier.Instance, old time.Time) bool { return at.Sub(old) > newsPeriod })
	q.delivered[to] = at
}

// newsFor returns a function that reports whether a record is news for a peer, and counts those
// that are as sent.
func (q *Quarantiner) newsFor(now time.Time, to identifier.Instance) func(*record) bool {
	since := now.Add(-newsPeriod)
	if at, ok := q.delivered[to]; ok && at.After(since) {
		since = at
	}
	return func(r *record) bool {
		if r.forwards >= maxForwards || r.changedAt.Before(since) {
			return false
		}
		r.forwards++
		return true
	}
}

// Reply returns the answer to a peer's message: nothing if it knows the same, otherwise what
// changed lately, or now and then all that is known. If the answer is lost, the peer gets it then.
func (q *Quarantiner) Reply(now time.Time, from identifier.Instance, peer *messenger.Quarantine) *messenger.Quarantine {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	match := q.newsFor(now, from)
	q.recordDelivered(now, from)
	differs := peer.GetDigest() != q.digest()
	if differs && (!peer.GetComplete() || now.Sub(q.wholeAt) >= wholeInterval) {
		q.wholeAt = now
		return q.message(now, func(*record) bool { return true })
	}
	return q.message(now, func(r *record) bool { return differs && match(r) })
}

// message returns a message with the records that match. If there are too many, it has those
// with the most recent crashes.
func (q *Quarantiner) message(now time.Time, match func(*record) bool) *messenger.Quarantine {
	m := &messenger.Quarantine{
		Digest:   q.digest(),
		Complete: q.complete,
	}
	var keys []Key
	for key, r := range q.records {
		if match(r) {
			keys = append(keys, key)
		}
	}
	if len(keys) > maxSent {
		q.sortByCrash(keys)
		keys = keys[:maxSent]
	}
	for _, key := range keys {
		m.Parts = append(m.Parts, q.records[key].wire(now, key))
	}
	m.Parts = append(m.Parts, q.wireClaims(now)...)
	return m
}

// sortByCrash sorts keys by their last crash, the newest first.
func (q *Quarantiner) sortByCrash(keys []Key) {
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(q.records[b].lastCrash().Compare(q.records[a].lastCrash()), CompareKeys(a, b))
	})
}

func (q *Quarantiner) digest() uint64 {
	var d uint64
	for key, r := range q.records {
		d ^= r.digest(key)
	}
	return d
}

// Merge merges a peer's message.
func (q *Quarantiner) Merge(now time.Time, m *messenger.Quarantine) {
	if m == nil {
		return
	}
	q.mu.Lock()
	q.complete = q.complete || m.GetComplete()
	news := false
	for _, p := range m.GetParts() {
		news = q.mergePart(now, p) || news
	}
	q.mu.Unlock()
	q.announce(news)
}

// mergePart merges a report about one key, or a claim, and reports whether it was news.
func (q *Quarantiner) mergePart(now time.Time, p *messenger.SuspectPart) bool {
	text := p.GetPart()
	if text == "" || len(text) > maxKeyBytes {
		q.Log.WithField("bytes", len(text)).Warn("report of a part with an invalid name set aside")
		return false
	}
	if claimed, ok := strings.CutPrefix(text, claimPrefix); ok {
		return q.mergeClaim(now, ParseKey(claimed), p)
	}
	key := ParseKey(text)
	kept := retentionOf(key.Scope)
	if !recent(p, kept) {
		return false
	}
	r := q.record(now, key)
	if r == nil {
		return false
	}
	changed := false
	for _, c := range p.GetCrashes() {
		if age := age(c.GetAgeMs()); age <= kept {
			incarnation := incarnationOf(c.GetEndpoint())
			q.crashed.add(now.Add(-age), incarnation)
			changed = r.addCrash(incarnation, now.Add(-age)) || changed
		}
	}
	answered, released := r.answered, r.released
	r.answered = mergeEvent(now, answered, p.GetAnswered())
	r.released = mergeEvent(now, released, p.GetReleased())
	changed = changed || answered.id != r.answered.id || released.id != r.released.id
	if changed {
		r.change(now)
		q.reportAnswer(now, key, r)
	}
	return changed
}

// recent reports whether a report has a crash that is still to be known.
func recent(p *messenger.SuspectPart, kept time.Duration) bool {
	return slices.ContainsFunc(p.GetCrashes(), func(c *messenger.EndpointCrash) bool { return age(c.GetAgeMs()) <= kept })
}

// age converts an age in a message; it is never negative.
func age(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), (2*requestRetention).Milliseconds())) * time.Millisecond
}

func mergeEvent(now time.Time, e event, m *messenger.PartEvent) event {
	if m.GetId() == 0 {
		return e
	}
	other := event{
		id: m.GetId(),
		at: now.Add(-age(m.GetAgeMs())),
	}
	if e.id == 0 {
		return other
	}
	return e.merge(other)
}

func incarnationOf(m *messenger.Mark) identifier.EndpointIncarnation {
	return identifier.EndpointIncarnation{
		Endpoint:    identifier.Endpoint(m.GetEndpoint()),
		Incarnation: identifier.Incarnation(m.GetIncarnation()),
	}
}

// wire returns the record as a message.
func (r *record) wire(now time.Time, key Key) *messenger.SuspectPart {
	m := &messenger.SuspectPart{
		Part:     key.String(),
		Answered: r.answered.wire(now),
		Released: r.released.wire(now),
	}
	for incarnation, at := range r.crashes {
		m.Crashes = append(m.Crashes, &messenger.EndpointCrash{
			Endpoint: &messenger.Mark{
				Endpoint:    string(incarnation.Endpoint),
				Incarnation: uint64(incarnation.Incarnation),
			},
			AgeMs: now.Sub(at).Milliseconds(),
		})
	}
	return m
}

func (e event) wire(now time.Time) *messenger.PartEvent {
	if e.id == 0 {
		return nil
	}
	return &messenger.PartEvent{
		Id:    e.id,
		AgeMs: now.Sub(e.at).Milliseconds(),
	}
}

// Complete reports whether the instance knows what is kept in the platform's store.
func (q *Quarantiner) Complete() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.complete
}

// Restore merges the condemned keys that are kept in the platform's store.
func (q *Quarantiner) Restore(now time.Time, parts []*messenger.SuspectPart) {
	q.Merge(now, &messenger.Quarantine{
		Complete: true,
		Parts:    parts,
	})
}

// Condemned returns the condemned keys, to be kept in the platform's store, those with the
// newest crashes first.
func (q *Quarantiner) Condemned(now time.Time) []*messenger.SuspectPart {
	q.mu.Lock()
	defer q.mu.Unlock()
	var keys []Key
	for key, v := range q.judge(now) {
		if v.Condemned {
			keys = append(keys, key)
		}
	}
	q.sortByCrash(keys)
	var out []*messenger.SuspectPart
	for _, key := range keys {
		out = append(out, q.records[key].wire(now, key))
	}
	return out
}
