package granter

import (
	"math"
	"time"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/scheduler"
)

func askOf(a *messenger.Ask) scheduler.Ask {
	ask := scheduler.Ask{
		Request:  identifier.Request(a.GetRequest()),
		Customer: identifier.Customer(a.GetCustomer()),
		Rank:     identifier.Rank(a.GetRank()),
		Tier:     identifier.Paying,
		Weight:   a.GetWeight(),
		Entry:    identifier.DataCentre(a.GetDataCentre()),
		Prompt:   identifier.Tokens(a.GetPromptTokens()),
		Output:   identifier.Tokens(a.GetOutputTokens()),
		// An estimate over the limit of the response is as good as the limit.
		OutputHint: identifier.Tokens(max(0, min(a.GetOutputHint(), a.GetOutputTokens()))),
		Prefix:     a.GetPrefix(),
		// Invalid lengths are limited to the prompt's.
		PrefixTokens: identifier.Tokens(max(0, min(a.GetPrefixTokens(), a.GetPromptTokens()))),
		Version:      identifier.Version(a.GetVersion()),
		Resumed:      a.GetResumed(),
		Repairs:      identifier.Request(a.GetMoves()),
		Terms:        rankOf(a.GetTerms()),
	}
	ask.Promise, _ = PromiseOf(a.GetPromise())
	if a.GetFree() {
		ask.Tier = identifier.Free
	}
	for _, m := range a.GetAvoid() {
		ask.Avoid = append(ask.Avoid, incarnationOf(m))
	}
	return ask
}

func incarnationOf(m *messenger.Mark) identifier.EndpointIncarnation {
	return identifier.EndpointIncarnation{
		Endpoint:    identifier.Endpoint(m.GetEndpoint()),
		Incarnation: identifier.Incarnation(m.GetIncarnation()),
	}
}

// TermsOf returns the terms that an ask states for its rank; nil if none are
// declared.
func TermsOf(r *declarer.Rank) *messenger.Terms {
	if r == nil {
		return nil
	}
	return &messenger.Terms{
		Order:           clampInt32(r.Order),
		BetweenTokensMs: r.BetweenTokens.Std().Milliseconds(),
		QueueLimit:      clampInt32(r.QueueLimit),
		MaxWaitMs:       r.MaxWait.Std().Milliseconds(),
	}
}

// clampInt32 returns n limited to the range of the messages' integer fields.
func clampInt32(n int) int32 {
	return int32(max(math.MinInt32, min(n, math.MaxInt32)))
}

// maxTermDuration is the longest time that the terms of an ask may state. Longer
// times are shortened to it.
const maxTermDuration = time.Hour

func termDuration(ms int64) identifier.Duration {
	return identifier.DurationOf(time.Duration(min(ms, maxTermDuration.Milliseconds())) * time.Millisecond)
}

// rankOf returns the terms of an ask as a rank; nil if the ask has none or if one
// of its limits is negative.
func rankOf(t *messenger.Terms) *declarer.Rank {
	if t == nil || t.GetQueueLimit() < 0 || t.GetMaxWaitMs() < 0 || t.GetBetweenTokensMs() < 0 {
		return nil
	}
	return &declarer.Rank{
		Order:         int(t.GetOrder()),
		BetweenTokens: termDuration(t.GetBetweenTokensMs()),
		QueueLimit:    int(t.GetQueueLimit()),
		MaxWait:       termDuration(t.GetMaxWaitMs()),
	}
}

func activeTicketOf(h *messenger.Held) scheduler.ActiveTicket {
	return scheduler.ActiveTicket{
		Ask:   askOf(h.GetAsk()),
		Chain: ChainOf(h.GetChain()),
	}
}

func outcomeOf(r *messenger.Release) scheduler.Outcome {
	return scheduler.Outcome{
		Tokens: identifier.Tokens(r.GetTokens()),
		Failed: identifier.EndpointIncarnation{
			Endpoint:    identifier.Endpoint(r.GetFailed()),
			Incarnation: identifier.Incarnation(r.GetFailedIncarnation()),
		},
		Gap:        time.Duration(r.GetGapMicros()) * time.Microsecond,
		FirstEvent: time.Duration(max(0, min(r.GetFirstEventMicros(), maxTermDuration.Microseconds()))) * time.Microsecond,
	}
}

// addDecision adds a decision to message m. revision is the configuration that the
// decision was based on.
func addDecision(m *messenger.FromOwner, d scheduler.Decision, revision identifier.Revision) {
	switch d.Verdict {
	case scheduler.Granted:
		m.Grants = append(m.Grants, &messenger.Grant{
			Request: string(d.Request),
			Chain:   StagesOf(d.Chain),
		})
	case scheduler.Refused:
		m.Refusals = append(m.Refusals, &messenger.Refusal{
			Request:      string(d.Request),
			Kind:         string(d.Kind),
			Detail:       d.Detail,
			RetryAfterMs: d.RetryAfter.Milliseconds(),
			Revision:     uint64(revision),
		})
	case scheduler.Revoked:
		m.Revoked = append(m.Revoked, string(d.Request))
	}
}

// ChainOf converts the stages of a message to a chain.
func ChainOf(stages []*messenger.Stage) []identifier.Stage {
	chain := make([]identifier.Stage, 0, len(stages))
	for _, s := range stages {
		chain = append(chain, identifier.Stage{
			EndpointIncarnation: identifier.EndpointIncarnation{
				Endpoint:    identifier.Endpoint(s.GetEndpoint()),
				Incarnation: identifier.Incarnation(s.GetIncarnation()),
			},
			Address: s.GetAddress(),
			From:    identifier.Layer(s.GetFrom()),
			To:      identifier.Layer(s.GetTo()),
			Version: identifier.Version(s.GetVersion()),
		})
	}
	return chain
}

// StagesOf converts a chain to the stages of a message.
func StagesOf(chain []identifier.Stage) []*messenger.Stage {
	stages := make([]*messenger.Stage, 0, len(chain))
	for _, s := range chain {
		stages = append(stages, &messenger.Stage{
			Endpoint:    string(s.Endpoint),
			Address:     s.Address,
			Incarnation: uint64(s.Incarnation),
			From:        int32(s.From),
			To:          int32(s.To),
			Version:     string(s.Version),
		})
	}
	return stages
}
