package quarantiner

import "time"

// maxRecentAnswers limits the keys in each of the two generations of recentAnswers.
const maxRecentAnswers = 8192

// recentAnswers holds when requests with which keys were last answered here, for at
// least answerWindow unless there are too many keys. It is kept in two generations, so
// that old entries are dropped together.
type recentAnswers struct {
	current, previous map[Key]time.Time
	rotatedAt         time.Time
}

// add records an answer.
func (a *recentAnswers) add(now time.Time, key Key) {
	if a.current == nil || now.Sub(a.rotatedAt) > answerWindow || len(a.current) >= maxRecentAnswers {
		a.previous = a.current
		a.current = make(map[Key]time.Time)
		a.rotatedAt = now
	}
	a.current[key] = now
}

// last returns when requests with a key were last answered.
func (a *recentAnswers) last(key Key) (time.Time, bool) {
	if at, ok := a.current[key]; ok {
		return at, true
	}
	at, ok := a.previous[key]
	return at, ok
}
