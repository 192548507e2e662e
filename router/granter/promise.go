package granter

import (
	"cmp"
	"time"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/scheduler"
)

// PromiseOf returns the promise of an ask; nil if it has none. Times over an hour are
// limited to that, as those of the terms are, and a negative interval counts as none;
// changed is set if there was such a value.
func PromiseOf(m *messenger.Promise) (p *scheduler.Promise, changed bool) {
	if m == nil {
		return nil, false
	}
	first, firstChanged := promisedTime(m.GetFirstTokenMs(), -maxTermDuration)
	between, betweenChanged := promisedTime(m.GetBetweenTokensMs(), 0)
	remaining, remainingChanged := promisedTime(m.GetRemainingMs(), -maxTermDuration)
	promise := &scheduler.Promise{
		FirstToken:    first,
		BetweenTokens: between,
		Remaining:     remaining,
	}
	patienceChanged := false
	if m.PatienceMs != nil {
		// A time of 0 has passed as well, and stands for an unknown one in the scheduler.
		promise.Patience, patienceChanged = promisedTime(m.GetPatienceMs(), -maxTermDuration)
		promise.Patience = cmp.Or(promise.Patience, -1)
	}
	return promise, firstChanged || betweenChanged || remainingChanged || patienceChanged
}

// promisedTime returns ms as a duration of at least lowest and at most maxTermDuration, and
// whether that changed it.
func promisedTime(ms int64, lowest time.Duration) (time.Duration, bool) {
	limited := max(lowest.Milliseconds(), min(ms, maxTermDuration.Milliseconds()))
	return time.Duration(limited) * time.Millisecond, limited != ms
}

// logChangedPromises logs, in one line for the message, that promises in it have values
// which are not used as they are.
func (g *Granter) logChangedPromises(session *Session, m *messenger.ToOwner) {
	n := 0
	var example *messenger.Ask
	check := func(a *messenger.Ask) {
		if _, changed := PromiseOf(a.GetPromise()); changed {
			n++
			example = a
		}
	}
	for _, a := range m.GetAsks() {
		check(a)
	}
	for _, h := range m.GetHeld() {
		check(h.GetAsk())
	}
	if n == 0 {
		return
	}
	g.Log.WithField("peer", session.entry).WithField("promises", n).WithField("request", example.GetRequest()).
		WithField("promise", example.GetPromise().String()).Warn("promises with values out of bounds; limited")
}
