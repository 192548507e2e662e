package granter

import (
	"time"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/scheduler"
)

// unknownLogInterval is the shortest time between two log lines about one pool that the owner
// can't decide on: each entry asks again after it has scheduled alone.
const unknownLogInterval = time.Second

// Covers reports whether the endpoints of this instance's own list hold every layer of a
// service, so that the instance can schedule the service alone. It may be called outside the
// control loop.
func (g *Granter) Covers(s identifier.Service) bool {
	v := g.Publisher.View()
	if g.Estimate == nil || v.Declaration == nil {
		return false
	}
	key := Key{
		Service:    s,
		Standalone: true,
	}
	var p scheduler.Pool
	p.Configure(g.policyOf(v, key))
	p.SetRunners(sortReports(g.Estimate(v, key)))
	return p.Covered()
}

// policyOf returns the terms by which a pool is scheduled on a view.
func (g *Granter) policyOf(v *publisher.View, key Key) scheduler.Policy {
	s := v.Declaration.Service[key.Service]
	return scheduler.Policy{
		Layers:  s.Layers,
		Partial: g.Estimate != nil,
		Version: s.Version,
		Ranks:   v.Declaration.Rank,
		Links:   linksOf(v, key.Service),
	}
}

// uninformed reports whether the pool can't decide on the requests of an entry: no chain is
// possible on this instance's list of endpoints, and there is no such list, or the entry's is
// newer. It runs on the control loop.
func (g *Granter) uninformed(session *Session) bool {
	p := session.pool
	if g.Estimate == nil || !p.runnersSet || p.scheduler.Covered() {
		return false
	}
	own := g.Publisher.List()
	listless := own == (identifier.Position{}) && p.view.EndpointCount() == 0
	return listless || own.Before(session.list)
}

// answerUnknown tells an entry that the owner can't decide on its asks, if so. The requests stay
// queued: they are granted if a list comes while the entry still waits.
func (g *Granter) answerUnknown(now time.Time, session *Session, asks []*messenger.Ask) {
	if len(asks) == 0 || !g.uninformed(session) {
		return
	}
	m := &messenger.FromOwner{List: messenger.PositionOf(g.Publisher.List())}
	for _, a := range asks {
		m.Unknown = append(m.Unknown, a.GetRequest())
	}
	g.recordUnknown(now, session, len(asks))
	session.out.Add(m)
}

// refusesUninformed reports whether a decision is a refusal that must not be sent, because the
// entry has a list and the owner can't decide. An entry that states no list gets the refusal: it
// has none either, or is of a build that does not read unknown answers.
func (g *Granter) refusesUninformed(session *Session, d scheduler.Decision) bool {
	return d.Verdict == scheduler.Refused && d.Kind == classifier.NoChain && session.list != (identifier.Position{}) && g.uninformed(session)
}

// recordUnknown counts requests that are answered as unknown, and logs them at most once in
// unknownLogInterval for each pool.
func (g *Granter) recordUnknown(now time.Time, session *Session, n int) {
	key := session.pool.key
	if g.OnUnknown != nil {
		g.OnUnknown(key.Service, n)
	}
	if now.Sub(g.unknownLoggedAt[key]) < unknownLogInterval {
		return
	}
	g.unknownLoggedAt[key] = now
	own := g.Publisher.List()
	log := g.Log.WithField("pool", key.Service).WithField("peer", session.entry).
		WithField("alone", key.Standalone).
		WithField("era", own.Era).WithField("version", own.Version).
		WithField("peer-era", session.list.Era).WithField("peer-version", session.list.Version)
	if g.ListAge != nil {
		log = log.WithField("list-age-ms", g.ListAge().Milliseconds())
	}
	log.Warn("no decision on requests: the list of endpoints is missing or older than the entry's, and does not cover every layer")
}
