// Package quarantiner finds the parts of prompts that crash endpoints, and keeps the
// requests that hold them from reaching more endpoints.
//
// An endpoint that crashes takes many requests with it. Of these, only those can be the
// cause for which it had begun to answer and had sent nothing. A part that was in such a
// request at several crashes, and under which nothing was answered meanwhile, is suspected
// and then condemned. The instances exchange what they observed, so that each comes to
// the same verdicts.
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
	// maxRecords limits the parts that are known.
	maxRecords = 4096
	// evictBatch is how many of them are removed at once.
	evictBatch = maxRecords / 8
	// retention is how long a part is known after its last crash.
	retention = 6 * time.Hour
	// verdictAge is how long verdicts are used before they are made anew.
	verdictAge = 20 * time.Millisecond
	// testTimeout ends a test whose request neither crashes an endpoint nor is answered.
	testTimeout = 30 * time.Second
	// suspectedRetryAfter is the suggested retry delay while a part is suspected.
	suspectedRetryAfter = time.Second
	// answerRefresh is how often an answer under a known part is reported anew.
	answerRefresh = answerWindow / 3
)

// Quarantiner holds what is known of parts. Set the exported fields before the first
// call.
type Quarantiner struct {
	Self identifier.Instance
	// Live returns the live instances.
	Live func() []identifier.Instance
	// OnNews, if set, is called after a change that other instances should learn of.
	OnNews func()
	Log    logrus.FieldLogger

	mu       sync.Mutex
	records  map[identifier.Part]*record
	answers  recentAnswers
	tests    map[identifier.Part]time.Time
	complete bool
	verdicts map[identifier.Part]Verdict
	judgedAt time.Time
}

// Refusal is the reason why a request is not sent.
type Refusal struct {
	Part identifier.Part
	Verdict
	// RetryAfter is when a request with the part may be sent again.
	RetryAfter time.Duration
}

// Pass is the permission to send a request. It must be ended when the request ends.
type Pass struct {
	quarantiner *Quarantiner
	parts       []identifier.Part
	tests       []identifier.Part
}

// Admit returns a pass for a request with the given parts, or the reason why it may not
// be sent.
func (q *Quarantiner) Admit(now time.Time, parts []identifier.Part) (*Pass, *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := &Pass{
		quarantiner: q,
		parts:       parts,
	}
	if len(q.records) == 0 {
		return p, nil
	}
	suspects, v := q.suspects(now, parts)
	if len(suspects) == 0 {
		return p, nil
	}
	if !q.mayTest(now, suspects, v) {
		return nil, refusal(now, suspects[0], v)
	}
	if q.tests == nil {
		q.tests = make(map[identifier.Part]time.Time)
	}
	for _, part := range suspects {
		q.tests[part] = now
	}
	p.tests = suspects
	return p, nil
}

// suspects returns those of the parts that are suspected or condemned, and the verdict
// that applies to a request with all of them: that on the first, with the latest time of
// a test. An answer to a request with several suspected parts clears all, but a crash does
// not tell them apart, so that such a request is tested late.
func (q *Quarantiner) suspects(now time.Time, parts []identifier.Part) ([]identifier.Part, Verdict) {
	verdicts := q.judge(now)
	var out []identifier.Part
	for _, part := range parts {
		if _, ok := verdicts[part]; ok && !slices.Contains(out, part) {
			out = append(out, part)
		}
	}
	if len(out) == 0 {
		return nil, Verdict{}
	}
	slices.SortFunc(out, func(a, b identifier.Part) int {
		return cmp.Or(cmp.Compare(verdicts[b].Crashes, verdicts[a].Crashes), cmp.Compare(a, b))
	})
	v := verdicts[out[0]]
	if len(out) > 1 || q.explained(now, parts) {
		for _, part := range out {
			v.TestAt = latest(v.TestAt, verdicts[part].testTogether())
		}
	}
	return out, v
}

// explained reports whether one of the parts would be suspected if another one did not
// explain its crashes. A crash of a test with it would not tell the two apart.
func (q *Quarantiner) explained(now time.Time, parts []identifier.Part) bool {
	return slices.ContainsFunc(parts, func(part identifier.Part) bool {
		r, ok := q.records[part]
		_, judged := q.verdicts[part]
		return ok && !judged && len(r.counted(now)) >= suspectedCrashes
	})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Check returns the reason why the request may no longer be sent; nil if it may.
func (p *Pass) Check(now time.Time) *Refusal {
	q := p.quarantiner
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.records) == 0 {
		return nil
	}
	suspects, v := q.suspects(now, p.parts)
	for _, part := range suspects {
		if !slices.Contains(p.tests, part) {
			return refusal(now, part, v)
		}
	}
	return nil
}

// End ends the pass.
func (p *Pass) End() {
	p.quarantiner.mu.Lock()
	defer p.quarantiner.mu.Unlock()
	for _, part := range p.tests {
		delete(p.quarantiner.tests, part)
	}
	p.tests = nil
}

func refusal(now time.Time, part identifier.Part, v Verdict) *Refusal {
	return &Refusal{
		Part:       part,
		Verdict:    v,
		RetryAfter: max(v.TestAt.Sub(now), suspectedRetryAfter),
	}
}

// mayTest reports whether this instance may now send one request with the suspects. Of
// all live instances, one tests a part.
func (q *Quarantiner) mayTest(now time.Time, suspects []identifier.Part, v Verdict) bool {
	if now.Before(v.TestAt) {
		return false
	}
	for _, part := range suspects {
		if started, ok := q.tests[part]; ok && now.Sub(started) < testTimeout {
			return false
		}
	}
	tester, _ := assigner.Owner(identifier.Service(suspects[0]), q.Live())
	return tester == q.Self
}

// RecordCrash records that an endpoint crashed while it began to answer a request with
// the given parts.
func (q *Quarantiner) RecordCrash(now time.Time, incarnation identifier.EndpointIncarnation, parts []identifier.Part) {
	q.mu.Lock()
	news := false
	for _, part := range parts {
		r := q.record(now, part)
		if r == nil || !r.addCrash(incarnation, now) {
			continue
		}
		r.changedAt = now
		q.reportAnswer(now, part, r)
		news = true
	}
	q.mu.Unlock()
	q.announce(news)
}

// RecordAnswer records that a request with the given parts was answered.
func (q *Quarantiner) RecordAnswer(now time.Time, parts []identifier.Part) {
	q.mu.Lock()
	news := false
	for _, part := range parts {
		q.answers.add(now, part)
		if r, ok := q.records[part]; ok {
			news = q.reportAnswer(now, part, r) || news
		}
	}
	q.mu.Unlock()
	q.announce(news)
}

// reportAnswer adds the last answer under a part to its record, unless the record has a
// recent one. It returns whether it did.
func (q *Quarantiner) reportAnswer(now time.Time, part identifier.Part, r *record) bool {
	at, ok := q.answers.last(part)
	if !ok || (r.answered.id != 0 && at.Sub(r.answered.at) < answerRefresh) {
		return false
	}
	r.answered = event{
		id: rand.Uint64() | 1,
		at: at,
	}
	r.changedAt = now
	return true
}

// Release makes the crashes so far count no longer against a part. It reports whether
// the part is known.
func (q *Quarantiner) Release(now time.Time, part identifier.Part) bool {
	q.mu.Lock()
	r, ok := q.records[part]
	if ok {
		r.released = event{
			id: rand.Uint64() | 1,
			at: now,
		}
		r.changedAt = now
	}
	q.mu.Unlock()
	q.announce(ok)
	return ok
}

// Verdicts returns the verdicts on all parts that are suspected or condemned.
func (q *Quarantiner) Verdicts(now time.Time) map[identifier.Part]Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.judge(now))
}

// Count returns how many parts are condemned or, if condemned is not set, suspected.
func (q *Quarantiner) Count(now time.Time, condemned bool) int {
	n := 0
	for _, v := range q.Verdicts(now) {
		if v.Condemned == condemned {
			n++
		}
	}
	return n
}

// record returns the record of a part, which it creates if needed; nil if no more parts
// can be known.
func (q *Quarantiner) record(now time.Time, part identifier.Part) *record {
	if r, ok := q.records[part]; ok {
		return r
	}
	if q.records == nil {
		q.records = make(map[identifier.Part]*record)
	}
	if len(q.records) >= maxRecords {
		q.evict(now)
	}
	if len(q.records) >= maxRecords {
		q.Log.WithField("part", part).Warn("crash not recorded; too many parts are suspected")
		return nil
	}
	r := &record{crashes: make(map[identifier.EndpointIncarnation]time.Time)}
	q.records[part] = r
	return r
}

// expire removes the parts whose last crash is too long ago.
func (q *Quarantiner) expire(now time.Time) {
	maps.DeleteFunc(q.records, func(_ identifier.Part, r *record) bool { return now.Sub(r.lastCrash()) > retention })
}

// evict makes room for more parts. It removes those whose last crash is too long ago and,
// if these are too few, the ones that crashed least recently of those without a verdict.
func (q *Quarantiner) evict(now time.Time) {
	q.expire(now)
	excess := len(q.records) - (maxRecords - evictBatch)
	if excess <= 0 {
		return
	}
	verdicts := q.judge(now)
	var parts []identifier.Part
	for part := range q.records {
		if _, ok := verdicts[part]; !ok {
			parts = append(parts, part)
		}
	}
	slices.SortFunc(parts, func(a, b identifier.Part) int {
		return q.records[a].lastCrash().Compare(q.records[b].lastCrash())
	})
	for _, part := range parts[:min(excess, len(parts))] {
		delete(q.records, part)
	}
}

// judge returns the verdicts, made within verdictAge, and logs new ones.
func (q *Quarantiner) judge(now time.Time) map[identifier.Part]Verdict {
	if age := now.Sub(q.judgedAt); q.verdicts != nil && age >= 0 && age < verdictAge {
		return q.verdicts
	}
	q.expire(now)
	old := q.verdicts
	q.verdicts = judge(now, q.records)
	q.judgedAt = now
	for part, v := range q.verdicts {
		if before, ok := old[part]; ok && before.Condemned == v.Condemned && before.Crashes == v.Crashes {
			continue
		}
		entry := q.Log.WithFields(logrus.Fields{
			"part":     part,
			"crashes":  v.Crashes,
			"last-ms":  now.Sub(v.LastCrash).Milliseconds(),
			"test-ms":  v.TestAt.Sub(now).Milliseconds(),
			"evidence": slices.Sorted(maps.Keys(endpointsOf(q.records[part]))),
		})
		if v.Condemned {
			entry.Warn("part of prompts condemned for crashing endpoints")
			continue
		}
		entry.Warn("part of prompts suspected of crashing endpoints")
	}
	for part := range old {
		if _, ok := q.verdicts[part]; !ok {
			q.Log.WithField("part", part).Info("part of prompts cleared")
		}
	}
	return q.verdicts
}

func endpointsOf(r *record) map[identifier.Endpoint]bool {
	out := make(map[identifier.Endpoint]bool)
	for incarnation := range r.crashes {
		out[incarnation.Endpoint] = true
	}
	return out
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
