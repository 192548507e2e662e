package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/identifier"
)

// maxVerdictLines is how many of the keys with a new verdict are logged one by one: a request may have
// more parts than anyone reads.
const maxVerdictLines = 32

// logVerdicts logs new verdicts, those with the most crashes first.
func (q *Quarantiner) logVerdicts(now time.Time, keys []Key) {
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(q.verdicts[b].Crashes, q.verdicts[a].Crashes), CompareKeys(a, b))
	})
	for _, key := range keys[:min(len(keys), maxVerdictLines)] {
		q.logVerdict(now, key, q.verdicts[key])
	}
	if n := len(keys) - maxVerdictLines; n > 0 {
		q.Log.WithField("parts", n).Warn("further verdicts on parts of prompts")
	}
}

func (q *Quarantiner) logVerdict(now time.Time, key Key, v Verdict) {
	entry := q.Log.WithFields(logrus.Fields{
		"crashes":  v.Crashes,
		"last-ms":  now.Sub(v.LastCrash).Milliseconds(),
		"test-ms":  v.TestAt.Sub(now).Milliseconds(),
		"evidence": slices.Sorted(maps.Keys(endpointsOf(q.records[key]))),
	})
	switch {
	case key.Scope == WholeRequest && v.Condemned:
		entry.WithField("fingerprint", key.Name).Warn("request condemned for crashing endpoints")
	case key.Scope == WholeRequest:
		entry.WithField("fingerprint", key.Name).Warn("request suspected of crashing endpoints")
	case key.Scope == SharedPath && v.Condemned:
		entry.WithField("fingerprint", key.Name).Warn("path condemned for crashing endpoints")
	case key.Scope == SharedPath:
		entry.WithField("fingerprint", key.Name).Warn("path suspected of crashing endpoints")
	case v.Condemned:
		entry.WithField("part", key.Name).Warn("part of prompts condemned for crashing endpoints")
	default:
		entry.WithField("part", key.Name).Warn("part of prompts suspected of crashing endpoints")
	}
}

// logCleared logs keys that are suspected or condemned no longer.
func (q *Quarantiner) logCleared(keys []Key) {
	for _, key := range keys[:min(len(keys), maxVerdictLines)] {
		switch key.Scope {
		case WholeRequest:
			q.Log.WithField("fingerprint", key.Name).Info("request cleared")
		case SharedPath:
			q.Log.WithField("fingerprint", key.Name).Info("path cleared")
		default:
			q.Log.WithField("part", key.Name).Info("part of prompts cleared")
		}
	}
	if n := len(keys) - maxVerdictLines; n > 0 {
		q.Log.WithField("parts", n).Info("further parts of prompts cleared")
	}
}

func endpointsOf(r *record) map[identifier.Endpoint]bool {
	out := make(map[identifier.Endpoint]bool)
	for incarnation := range r.crashes {
		out[incarnation.Endpoint] = true
	}
	return out
}
