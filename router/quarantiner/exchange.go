package quarantiner

import (
	"cmp"
	"maps"
	"math/rand/v2"
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
	m := q.newsMessage(now, to)
	m.Sightings = q.sightingsFor(now, to)
	return m
}

// Delivered records that a peer has got the news of the given time.
func (q *Quarantiner) Delivered(newsAt time.Time, to identifier.Instance) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordDelivered(newsAt, to)
}

// recordDelivered records that a peer has got the news of the given time, unless they did not fit
// into the message: then they stay news.
func (q *Quarantiner) recordDelivered(at time.Time, to identifier.Instance) {
	if q.delivered == nil {
		q.delivered = make(map[identifier.Instance]delivery)
	}
	d := q.delivered[to]
	maps.DeleteFunc(q.delivered, func(_ identifier.Instance, d delivery) bool { return at.Sub(d.at) > newsPeriod })
	d.at = at
	if !d.cut {
		d.newsAt = at
	}
	q.delivered[to] = d
}

// delivery is what a peer last got.
type delivery struct {
	// at is when it got a message, and newsAt when it got one with all news.
	at, newsAt time.Time
	// cut is set if the last message had not all news.
	cut bool
}

// newsMessage returns a message with the records that are news for a peer, and counts them as sent.
func (q *Quarantiner) newsMessage(now time.Time, to identifier.Instance) *messenger.Quarantine {
	since := now.Add(-newsPeriod)
	if d, ok := q.delivered[to]; ok && d.newsAt.After(since) {
		since = d.newsAt
	}
	keys, cut := q.selectKeys(func(r *record) bool { return r.forwards < maxForwards && !r.changedAt.Before(since) })
	for _, key := range keys {
		q.records[key].forwards++
	}
	if d, ok := q.delivered[to]; ok || cut {
		if q.delivered == nil {
			q.delivered = make(map[identifier.Instance]delivery)
		}
		d.cut = cut
		q.delivered[to] = d
	}
	return q.message(now, keys)
}

// Reply returns the answer to a peer's message: nothing if it knows the same, otherwise what
// changed lately, or now and then all that is known. If the answer is lost, the peer gets it then.
func (q *Quarantiner) Reply(now time.Time, from identifier.Instance, peer *messenger.Quarantine) *messenger.Quarantine {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	m := q.replyMessage(now, from, peer)
	m.Sightings = q.sightingsFor(now, from)
	q.recordDelivered(now, from)
	return m
}

func (q *Quarantiner) replyMessage(now time.Time, from identifier.Instance, peer *messenger.Quarantine) *messenger.Quarantine {
	switch {
	case peer.GetDigest() == q.digest():
		return q.message(now, nil)
	case !peer.GetComplete() || now.Sub(q.wholeAt) >= wholeInterval:
		q.wholeAt = now
		keys, _ := q.selectKeys(func(*record) bool { return true })
		return q.message(now, keys)
	}
	return q.newsMessage(now, from)
}

// selectKeys returns the keys of the records that match. If there are more than maxSent, it returns those
// with the most crashes, and of the others those that were sent least, in no order, so that a few messages
// have them all; cut is set then.
func (q *Quarantiner) selectKeys(match func(*record) bool) (keys []Key, cut bool) {
	for key, r := range q.records {
		if match(r) {
			keys = append(keys, key)
		}
	}
	if len(keys) <= maxSent {
		return keys, false
	}
	rand.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	slices.SortStableFunc(keys, func(a, b Key) int {
		first, second := q.records[a], q.records[b]
		return cmp.Or(cmp.Compare(len(second.crashes), len(first.crashes)), cmp.Compare(first.forwards, second.forwards))
	})
	return keys[:maxSent], true
}

// message returns a message with the records of the given keys.
func (q *Quarantiner) message(now time.Time, keys []Key) *messenger.Quarantine {
	m := &messenger.Quarantine{
		Digest:   q.digest(),
		Complete: q.complete,
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
	for _, p := range m.GetSightings() {
		news = q.mergeSightings(now, p) || news
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
		m.Crashes = append(m.Crashes, wireCrash(now, incarnation, at))
	}
	return m
}

// wireCrash returns the crash of an endpoint as a message.
func wireCrash(now time.Time, incarnation identifier.EndpointIncarnation, at time.Time) *messenger.EndpointCrash {
	return &messenger.EndpointCrash{
		Endpoint: &messenger.Mark{
			Endpoint:    string(incarnation.Endpoint),
			Incarnation: uint64(incarnation.Incarnation),
		},
		AgeMs: now.Sub(at).Milliseconds(),
	}
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
