package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherhold.dev/core/identifier"
)

const (
	// answerWindow is how long before a crash an answer under a part still clears
	// the part of it, and requestAnswerWindow the same for a whole request: copies of one that
	// many callers send are answered more often than that.
	answerWindow        = 30 * time.Second
	requestAnswerWindow = 5 * time.Second
	// SettleTime is the age from which a crash counts, because an answer that clears the
	// part may still be on its way from another instance.
	SettleTime = 400 * time.Millisecond
	// suspectedCrashes is the number of crashes from which requests with a part are sent
	// one at a time, and condemnedCrashes that from which they are refused.
	suspectedCrashes = 2
	condemnedCrashes = 3
	// firstTestDelay is how long after the last crash a part with condemnedCrashes is tested, which
	// clears one that many sound requests share, and secondTestDelay the same after the
	// next crash.
	firstTestDelay  = 10 * time.Second
	secondTestDelay = 30 * time.Second
	// lateTestDelay is that after further crashes. It doubles with each one, up to
	// maxTestDelay: each test may cost an endpoint, and operators can release a part.
	lateTestDelay = 15 * time.Minute
	maxTestDelay  = 4 * time.Hour
	// jointTestDelay is how long after the last crash several suspected parts are tested
	// together. It doubles with each further crash, up to maxJointDelay.
	jointTestDelay = time.Minute
	maxJointDelay  = time.Hour
	// requestTestDelay is how long after the last crash a condemned request is tested. Nobody
	// misses one that crashed so many endpoints, and each test may cost another.
	requestTestDelay = 12 * time.Hour
	// maxCrashes is how many crashes are kept under one key: the newest ones.
	maxCrashes = 16
)

// event is something that was observed once, with a random id.
type event struct {
	id uint64
	at time.Time
}

// merge returns the newer of two events; of one event, the report with the earlier
// time.
func (e event) merge(other event) event {
	switch {
	case e.id == other.id && other.at.Before(e.at), e.id != other.id && other.at.After(e.at):
		return other
	}
	return e
}

// record is what is known under one key.
type record struct {
	scope Scope
	// crashes holds the endpoints that crashed while they began to answer a request with
	// the key, and when.
	crashes map[identifier.EndpointIncarnation]time.Time
	// newest is when the last of them crashed.
	newest   time.Time
	answered event
	released event
	// changedAt is when the record last changed here, and hash the hash of it; 0 if that was
	// not computed since.
	changedAt time.Time
	hash      uint64
	// forwards is to how many peers the change was sent.
	forwards int
}

// change records that the record changed at now.
func (r *record) change(now time.Time) {
	r.changedAt = now
	r.hash = 0
	r.forwards = 0
}

// lastCrash returns the time of the newest crash.
func (r *record) lastCrash() time.Time {
	return r.newest
}

// findNewest finds the time of the newest crash.
func (r *record) findNewest() {
	r.newest = time.Time{}
	for _, at := range r.crashes {
		if at.After(r.newest) {
			r.newest = at
		}
	}
}

// addCrash adds a crash and reports whether the record changed.
func (r *record) addCrash(incarnation identifier.EndpointIncarnation, at time.Time) bool {
	old, ok := r.crashes[incarnation]
	if ok {
		if at.Before(old) {
			r.crashes[incarnation] = at
			r.findNewest()
		}
		return false
	}
	if len(r.crashes) >= maxCrashes {
		oldest := r.oldestCrash()
		if !at.After(r.crashes[oldest]) {
			return false
		}
		delete(r.crashes, oldest)
	}
	r.crashes[incarnation] = at
	if at.After(r.newest) {
		r.newest = at
	}
	return true
}

// oldestCrash returns the endpoint that crashed first.
func (r *record) oldestCrash() identifier.EndpointIncarnation {
	var oldest identifier.EndpointIncarnation
	for incarnation, at := range r.crashes {
		if oldest.Endpoint == "" || at.Before(r.crashes[oldest]) {
			oldest = incarnation
		}
	}
	return oldest
}

// answerWindow returns how long before a crash an answer still clears the key of it.
func (r *record) answerWindow() time.Duration {
	if r.scope == WholeRequest {
		return requestAnswerWindow
	}
	return answerWindow
}

// uncleared returns the crashes of which neither an answer nor operators have cleared the key.
func (r *record) uncleared() crashSet {
	out := make(crashSet)
	for incarnation, at := range r.crashes {
		answered := r.answered.id != 0 && !r.answered.at.Before(at.Add(-r.answerWindow()))
		released := r.released.id != 0 && !r.released.at.Before(at)
		if !answered && !released {
			out[incarnation] = true
		}
	}
	return out
}

// counted returns the crashes that count in a verdict at now.
func (r *record) counted(now time.Time) crashSet {
	out := r.uncleared()
	maps.DeleteFunc(out, func(i identifier.EndpointIncarnation, _ bool) bool { return now.Sub(r.crashes[i]) < SettleTime })
	return out
}

// digest returns a hash of the record.
func (r *record) digest(key Key) uint64 {
	if r.hash == 0 {
		r.hash = r.computeDigest(key)
	}
	return r.hash
}

func (r *record) computeDigest(key Key) uint64 {
	d := xxhash.New()
	write := func(s string) {
		// Writing to a hash can't fail.
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	write(key.String())
	names := make([]string, 0, len(r.crashes))
	for incarnation := range r.crashes {
		names = append(names, incarnation.String())
	}
	slices.Sort(names)
	for _, name := range names {
		write(name)
	}
	for _, id := range []uint64{r.answered.id, r.released.id} {
		for shift := 0; shift < 64; shift += 8 {
			_, _ = d.Write([]byte{byte(id >> shift)})
		}
	}
	return d.Sum64()
}

// Verdict is how requests with a key are treated.
type Verdict struct {
	// Condemned is set if they are refused; otherwise they are suspected and sent one
	// at a time.
	Condemned bool
	// Crashes is how many endpoints crashed under the key.
	Crashes int
	// LastCrash is when the last of them crashed, and TestAt when the key may be
	// tested again.
	LastCrash time.Time
	TestAt    time.Time
}

// crashSet is a set of crashes.
type crashSet map[identifier.EndpointIncarnation]bool

// within reports whether all crashes of c are in other.
func (c crashSet) within(other crashSet) bool {
	for incarnation := range c {
		if !other[incarnation] {
			return false
		}
	}
	return true
}

// judge returns the verdicts on the keys of records that are suspected or condemned.
func judge(now time.Time, records map[Key]*record) map[Key]Verdict {
	verdicts := make(map[Key]Verdict)
	requests := make(map[Key]crashSet)
	parts := make(map[Key]crashSet)
	for key, r := range records {
		if len(r.crashes) < suspectedCrashes {
			continue
		}
		crashes := r.counted(now)
		switch {
		case len(crashes) < suspectedCrashes:
		case key.Scope == WholeRequest:
			requests[key] = crashes
			verdicts[key] = newVerdict(r, len(crashes), len(crashes) >= condemnedCrashes)
		default:
			parts[key] = crashes
		}
	}
	for part, crashes := range parts {
		if len(crashes) < suspectedCrashes || explainedByOne(crashes, requests) {
			delete(parts, part)
		}
	}
	judgeParts(records, parts, verdicts)
	return verdicts
}

// explainedByOne reports whether one request crashed all endpoints that crashed under a part: its
// repeats say no more about the part. A request that explains only some of the crashes may as well
// have run beside them.
func explainedByOne(crashes crashSet, requests map[Key]crashSet) bool {
	for _, other := range requests {
		if crashes.within(other) {
			return true
		}
	}
	return false
}

// judgeParts adds the verdicts on parts, given the crashes that count against each. A crash
// counts against one part only: if a part is condemned, the crashes under it don't count
// against the other parts of the same requests. A part is only suspected while another part
// explains all of its crashes as well.
func judgeParts(records map[Key]*record, counted map[Key]crashSet, verdicts map[Key]Verdict) {
	for {
		part, ok := nextCondemned(counted)
		if !ok {
			break
		}
		explained := counted[part]
		verdicts[part] = newVerdict(records[part], len(explained), true)
		delete(counted, part)
		for other, crashes := range counted {
			maps.DeleteFunc(crashes, func(i identifier.EndpointIncarnation, _ bool) bool { return explained[i] })
			if len(crashes) < suspectedCrashes {
				delete(counted, other)
			}
		}
	}
	for part, crashes := range counted {
		verdicts[part] = newVerdict(records[part], len(crashes), false)
	}
}

// nextCondemned returns the part with the most crashes of those that are to be
// condemned; false if there is none.
func nextCondemned(counted map[Key]crashSet) (Key, bool) {
	parts := slices.SortedFunc(maps.Keys(counted), func(a, b Key) int {
		return cmp.Or(cmp.Compare(len(counted[b]), len(counted[a])), CompareKeys(a, b))
	})
	for _, part := range parts {
		if len(counted[part]) < condemnedCrashes {
			break
		}
		explained := slices.ContainsFunc(parts, func(other Key) bool {
			return other != part && counted[part].within(counted[other])
		})
		if !explained {
			return part, true
		}
	}
	return Key{}, false
}

// newVerdict returns the verdict on a key with the given number of crashes that count. All that
// it is not cleared of delay its test.
func newVerdict(r *record, crashes int, condemned bool) Verdict {
	v := Verdict{
		Condemned: condemned,
		Crashes:   crashes,
		LastCrash: r.lastCrash(),
	}
	switch {
	case !condemned:
		v.TestAt = v.LastCrash.Add(SettleTime)
	case r.scope == WholeRequest:
		v.TestAt = v.LastCrash.Add(requestTestDelay)
	default:
		v.TestAt = v.LastCrash.Add(condemnedDelay(len(r.uncleared())))
	}
	return v
}

// condemnedDelay returns how long after the last of its crashes a condemned part is
// tested.
func condemnedDelay(crashes int) time.Duration {
	switch n := crashes - condemnedCrashes; {
	case n <= 0:
		return firstTestDelay
	case n == 1:
		return secondTestDelay
	default:
		return doubled(lateTestDelay, n-2, maxTestDelay)
	}
}

// doubled returns d doubled n times, at most limit.
func doubled(d time.Duration, n int, limit time.Duration) time.Duration {
	for ; n > 0 && d < limit; n-- {
		d *= 2
	}
	return min(d, limit)
}

// testTogether returns when the part may be tested in one request with other suspected
// parts.
func (v Verdict) testTogether() time.Time {
	return v.LastCrash.Add(doubled(jointTestDelay, v.Crashes-condemnedCrashes, maxJointDelay))
}
