// Package quarantiner finds the requests that crash endpoints, and the parts of prompts
// that do, and keeps them from reaching more endpoints.
//
// An endpoint that crashes takes many requests with it. Of these, only those can be the
// cause whose runs had just begun, however far their answers had got. What such requests had
// in common at several crashes is suspected and then condemned, if nothing was answered
// under it meanwhile: the whole request, which a caller sends again and again, or one part of
// their prompts. The instances exchange what they observed, so that each comes to the same
// verdicts.
//
// After a first crash a request is sent by one instance at a time. The instance claims it
// and waits until a claim of another one would have arrived.
package quarantiner

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/assigner"
)

const (
	// maxRecords limits the keys that are known.
	maxRecords = 4096
	// evictBatch is how many of them are removed at once.
	evictBatch = maxRecords / 8
	// retention is how long a part is known after its last crash, and requestRetention a
	// whole request.
	retention        = 6 * time.Hour
	requestRetention = 24 * time.Hour
	// verdictAge is how long verdicts are used before they are made anew.
	verdictAge = 20 * time.Millisecond
	// testTimeout ends a test whose request neither crashes an endpoint nor is answered.
	testTimeout = 30 * time.Second
	// suspectedRetryAfter is the suggested retry delay while a key is suspected, and
	// maxRetryAfter the longest one.
	suspectedRetryAfter = time.Second
	maxRetryAfter       = time.Hour
	// answerRefreshes is how often within the window of an answer a further one under a known
	// key is reported anew.
	answerRefreshes = 3
)

// Quarantiner holds what is known of keys. Set the exported fields before the first
// call.
type Quarantiner struct {
	Self identifier.Instance
	// Live returns the live instances.
	Live func() []identifier.Instance
	// OnNews, if set, is called after a change that other instances should learn of.
	OnNews func()
	Log    logrus.FieldLogger

	mu        sync.Mutex
	records   map[Key]*record
	sightings sightings
	answers   recentAnswers
	tests     map[Key]time.Time
	tested    map[Key]time.Time
	crashed   recentCrashes
	claims    map[Key][]*claim
	verdicts  map[Key]Verdict
	judgedAt  time.Time
	lost      int
	// forgotten counts the records that were dropped, or not made, for want of room.
	forgotten int
	// expiredAt is when keys that are to be forgotten were last looked for.
	expiredAt time.Time

	complete bool
	// delivered is what each peer last got, and wholeAt when one last got all.
	delivered map[identifier.Instance]delivery
	wholeAt   time.Time
}

// Refusal is the reason why a request is not sent.
type Refusal struct {
	Key
	Verdict
	// RetryAfter is when a request with the key may be sent again.
	RetryAfter time.Duration
	// Hold is how long the request may be held, because it may soon be sent after all; 0 if
	// it may not.
	Hold time.Duration
}

// Admit returns a pass for a request with the given keys, or the reason why it may not
// be sent.
func (q *Quarantiner) Admit(now time.Time, keys []Key) (*Pass, *Refusal) {
	q.mu.Lock()
	pass, refusal, news := q.admit(now, keys)
	q.mu.Unlock()
	if news && q.OnNews != nil {
		q.OnNews()
	}
	return pass, refusal
}

// admit also reports whether there is a new claim.
func (q *Quarantiner) admit(now time.Time, keys []Key) (*Pass, *Refusal, bool) {
	p := &Pass{
		quarantiner: q,
		keys:        keys,
	}
	if len(q.records) == 0 {
		return p, nil, false
	}
	suspects, v := q.suspects(now, keys)
	if len(suspects) > 0 && !q.mayTest(now, suspects, v) {
		return nil, refusal(now, suspects[0], v), false
	}
	if refusal, news := q.claimAll(now, p, keys); refusal != nil {
		return nil, refusal, news
	}
	if q.tests == nil {
		q.tests = make(map[Key]time.Time)
	}
	for _, part := range suspects {
		q.tests[part] = now
	}
	p.tests = suspects
	return p, nil, false
}

// suspects returns those of the parts that are suspected or condemned, and the verdict
// that applies to a request with all of them: that on the first, with the latest time of
// a test. An answer to a request with several suspected parts clears all, but a crash does
// not tell them apart, so that such a request is tested late.
func (q *Quarantiner) suspects(now time.Time, keys []Key) ([]Key, Verdict) {
	verdicts := q.judge(now)
	var out []Key
	for _, part := range keys {
		if _, ok := verdicts[part]; ok && part.Scope.shared() {
			out = append(out, part)
		}
	}
	if len(out) == 0 {
		return nil, Verdict{}
	}
	slices.SortFunc(out, func(a, b Key) int {
		return cmp.Or(cmp.Compare(verdicts[b].Crashes, verdicts[a].Crashes), CompareKeys(a, b))
	})
	out = slices.Compact(out)
	v := verdicts[out[0]]
	if len(out) > 1 || q.explained(now, keys) {
		for _, part := range out {
			v.TestAt = latest(v.TestAt, verdicts[part].testTogether())
		}
	}
	return out, v
}

// explained reports whether one of the parts would be suspected if another one did not
// explain its crashes. A crash of a test with it would not tell the two apart.
func (q *Quarantiner) explained(now time.Time, keys []Key) bool {
	return slices.ContainsFunc(keys, func(part Key) bool {
		r, ok := q.records[part]
		_, judged := q.verdicts[part]
		return ok && part.Scope.shared() && !judged && len(r.counted(now)) >= suspectedCrashes
	})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Withdraw ends the claims for a request that is not sent after Admit held it.
func (q *Quarantiner) Withdraw(keys []Key) {
	q.mu.Lock()
	news := false
	for _, key := range keys {
		news = q.endClaims(key, false) || news
	}
	q.mu.Unlock()
	if news && q.OnNews != nil {
		q.OnNews()
	}
}

func refusal(now time.Time, key Key, v Verdict) *Refusal {
	return &Refusal{
		Key:        key,
		Verdict:    v,
		RetryAfter: min(max(v.TestAt.Sub(now), suspectedRetryAfter), maxRetryAfter),
	}
}

// mayTest reports whether this instance may now send one request with the suspects. Of
// all live instances, one tests a part.
func (q *Quarantiner) mayTest(now time.Time, suspects []Key, v Verdict) bool {
	if now.Before(v.TestAt) {
		return false
	}
	for _, part := range suspects {
		if started, ok := q.tests[part]; ok && now.Sub(started) < testTimeout {
			return false
		}
		if sent, ok := q.tested[part]; ok && v.Condemned && now.Sub(sent) < v.TestAt.Sub(v.LastCrash) {
			return false
		}
	}
	tester, _ := assigner.Owner(identifier.Service(suspects[0].Name), q.Live())
	return tester == q.Self
}

// RecordCrash records that an endpoint crashed while it began to answer a request with
// the given keys.
func (q *Quarantiner) RecordCrash(now time.Time, incarnation identifier.EndpointIncarnation, keys []Key) {
	q.mu.Lock()
	news := false
	if len(keys) > 0 {
		q.crashed.add(now, incarnation)
	}
	var sighted []Key
	for i, key := range keys {
		if i >= namedParts && q.records[key] == nil && !q.sightedElsewhere(key, incarnation) {
			if !q.answeredLately(now, key) {
				sighted = append(sighted, key)
			}
			continue
		}
		r := q.record(now, key)
		if r == nil || !r.addCrash(incarnation, now) {
			continue
		}
		r.change(now)
		q.reportAnswer(now, key, r)
		news = true
	}
	if len(sighted) > 0 {
		news = q.recordSightings(now, incarnation, sighted) || news
	}
	q.mu.Unlock()
	q.announce(news)
}

// answeredLately reports whether an answer clears a part of a crash at now.
func (q *Quarantiner) answeredLately(now time.Time, part Key) bool {
	at, ok := q.answers.last(part)
	return ok && now.Sub(at) <= answerWindow
}

// RecordAnswer records that a request with the given keys was answered.
func (q *Quarantiner) RecordAnswer(now time.Time, keys []Key) {
	q.mu.Lock()
	news := false
	q.clearSightings(keys)
	for _, key := range keys {
		q.answers.add(now, key)
		if r, ok := q.records[key]; ok {
			news = q.reportAnswer(now, key, r) || news
		}
	}
	q.mu.Unlock()
	q.announce(news)
}

// reportAnswer adds the last answer under a key to its record, unless the record has a
// recent one. It returns whether it did.
func (q *Quarantiner) reportAnswer(now time.Time, key Key, r *record) bool {
	at, ok := q.answers.last(key)
	if !ok || (r.answered.id != 0 && at.Sub(r.answered.at) < r.answerWindow()/answerRefreshes) {
		return false
	}
	r.answered = event{
		id: rand.Uint64() | 1,
		at: at,
	}
	r.change(now)
	return true
}

// Suspects reports whether a request with the given keys would be sent alone, later or not at
// all.
func (q *Quarantiner) Suspects(now time.Time, keys []Key) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if suspects, _ := q.suspects(now, keys); len(suspects) > 0 {
		return true
	}
	return slices.ContainsFunc(keys, func(key Key) bool {
		_, ok := q.crashOf(key)
		return ok
	})
}

// CrashedAt returns when an endpoint crashed, as far as any instance knows, if it is not long ago.
func (q *Quarantiner) CrashedAt(incarnation identifier.EndpointIncarnation) (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.crashed.at(incarnation)
}

// Release makes the crashes so far count no longer against a key. It reports whether
// the key is known.
func (q *Quarantiner) Release(now time.Time, key Key) bool {
	q.mu.Lock()
	r, ok := q.records[key]
	if ok {
		r.released = event{
			id: rand.Uint64() | 1,
			at: now,
		}
		r.change(now)
	}
	q.mu.Unlock()
	q.announce(ok)
	return ok
}

// Verdicts returns the verdicts on all keys that are suspected or condemned.
func (q *Quarantiner) Verdicts(now time.Time) map[Key]Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.judge(now))
}

// Count returns how many keys of a scope are condemned or, if condemned is not set,
// suspected.
func (q *Quarantiner) Count(now time.Time, scope Scope, condemned bool) int {
	n := 0
	for key, v := range q.Verdicts(now) {
		if key.Scope == scope && v.Condemned == condemned {
			n++
		}
	}
	return n
}

// Lost returns how many crashes of endpoints were counted so far against whole requests
// that are suspected or condemned.
func (q *Quarantiner) Lost() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lost
}

// Forgotten returns how many records and sightings were dropped, or not taken, for want of room.
func (q *Quarantiner) Forgotten() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.forgotten + q.sightings.dropped
}

// record returns the record of a key, which it creates if needed; nil if no more keys
// can be known.
func (q *Quarantiner) record(now time.Time, key Key) *record {
	if r, ok := q.records[key]; ok {
		return r
	}
	if q.records == nil {
		q.records = make(map[Key]*record)
	}
	if len(q.records) >= maxRecords {
		q.evict(now)
	}
	if len(q.records) >= maxRecords {
		q.forgotten++
		q.Log.WithField("part", key).Warn("crash not recorded; too many parts are suspected")
		return nil
	}
	r := &record{
		scope:   key.Scope,
		crashes: make(map[identifier.EndpointIncarnation]time.Time),
	}
	if key.Scope == SharedPart {
		if c, ok := q.sightings.take(hashOf(key)); ok {
			r.addCrash(c.incarnation, c.at)
			r.change(now)
		}
	}
	q.records[key] = r
	return r
}

// retentionOf returns how long a key is known after its last crash.
func retentionOf(s Scope) time.Duration {
	if s == WholeRequest {
		return requestRetention
	}
	return retention
}

// expireInterval is the least time between two looks for keys that are to be forgotten.
const expireInterval = time.Second

// expire removes the keys whose last crash is too long ago.
func (q *Quarantiner) expire(now time.Time) {
	if age := now.Sub(q.expiredAt); age >= 0 && age < expireInterval && len(q.records) < maxRecords {
		return
	}
	q.expiredAt = now
	maps.DeleteFunc(q.records, func(key Key, r *record) bool { return now.Sub(r.lastCrash()) > retentionOf(key.Scope) })
	maps.DeleteFunc(q.tested, func(key Key, _ time.Time) bool { return q.records[key] == nil })
	q.sightings.expire(now)
}

// evict makes room for more keys. It removes those whose last crash is too long ago and,
// if these are too few, the ones that crashed least recently of those without a verdict.
func (q *Quarantiner) evict(now time.Time) {
	q.expire(now)
	excess := len(q.records) - (maxRecords - evictBatch)
	if excess <= 0 {
		return
	}
	verdicts := q.judge(now)
	var keys []Key
	for key := range q.records {
		if _, ok := verdicts[key]; !ok {
			keys = append(keys, key)
		}
	}
	q.sortByCrash(keys)
	slices.Reverse(keys)
	keys = keys[:min(excess, len(keys))]
	for _, key := range keys {
		delete(q.records, key)
	}
	q.forgotten += len(keys)
}

// judge returns the verdicts, made within verdictAge, and logs new ones.
func (q *Quarantiner) judge(now time.Time) map[Key]Verdict {
	if age := now.Sub(q.judgedAt); q.verdicts != nil && age >= 0 && age < verdictAge {
		return q.verdicts
	}
	q.expire(now)
	old := q.verdicts
	q.verdicts = judge(now, q.records)
	q.judgedAt = now
	var changed, cleared []Key
	for key, v := range q.verdicts {
		before, ok := old[key]
		if key.Scope == WholeRequest {
			q.lost += max(v.Crashes-before.Crashes, 0)
		}
		if !ok || before.Condemned != v.Condemned || before.Crashes != v.Crashes {
			changed = append(changed, key)
		}
	}
	for key := range old {
		if _, ok := q.verdicts[key]; !ok {
			cleared = append(cleared, key)
		}
	}
	q.logVerdicts(now, changed)
	q.logCleared(cleared)
	return q.verdicts
}

func (q *Quarantiner) announce(news bool) {
	if !news {
		return
	}
	q.mu.Lock()
	q.judgedAt = time.Time{}
	q.mu.Unlock()
	if q.OnNews != nil {
		q.OnNews()
	}
}
