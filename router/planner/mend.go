package planner

import (
	"slices"

	"heatherhold.dev/core/identifier"
)

// Mend returns chain with other stages in place of those that need avoids or
// that are no longer among runners. The stages that stay keep their layers, so
// that only the new ones have to read what the request holds. It returns nil if
// the first stage can't stay or nobody can take a stage's place.
func Mend(runners []Runner, links Links, need Need, chain []identifier.Stage) []identifier.Stage {
	if len(chain) == 0 || !stays(runners, need, chain[0]) {
		return nil
	}
	bridge := need
	for _, s := range chain {
		// An endpoint can't have two places in a chain.
		bridge.Avoid = append(slices.Clone(bridge.Avoid), s.Life)
	}
	var out []identifier.Stage
	for i := 0; i < len(chain); {
		if stays(runners, need, chain[i]) {
			out = append(out, chain[i])
			i++
			continue
		}
		from := chain[i].From
		for i < len(chain) && !stays(runners, need, chain[i]) {
			i++
		}
		to := chain[i-1].To
		bridge.Entry = centreOf(runners, out[len(out)-1].Life)
		between := cross(runners, links, bridge, from, to)
		if between == nil {
			return nil
		}
		for _, s := range between {
			bridge.Avoid = append(bridge.Avoid, s.Life)
		}
		out = append(out, between...)
	}
	return out
}

// stays reports whether a stage may stay in a chain.
func stays(runners []Runner, need Need, s identifier.Stage) bool {
	if slices.Contains(need.Avoid, s.Life) {
		return false
	}
	return slices.ContainsFunc(runners, func(r Runner) bool {
		return r.Life == s.Life && r.From <= s.From && s.To <= r.To
	})
}

func centreOf(runners []Runner, l identifier.Life) identifier.DataCentre {
	for i := range runners {
		if runners[i].Life == l {
			return runners[i].DataCentre
		}
	}
	return ""
}

// cross returns the cheapest stages that cover layers [from, to) alone.
func cross(runners []Runner, links Links, need Need, from, to identifier.Layer) []identifier.Stage {
	parts := make([]Runner, 0, len(runners))
	for _, r := range runners {
		if r.From >= to || r.To <= from || (!need.Partial && (r.From < from || r.To > to)) {
			continue
		}
		whole := float64(r.To - r.From)
		r.From = max(r.From, from) - from
		r.To = min(r.To, to) - from
		part := float64(r.To-r.From) / whole
		r.TokenTime = scaled(r.TokenTime, part)
		r.PrefillTime = scaled(r.PrefillTime, part)
		parts = append(parts, r)
	}
	need.Layers = to - from
	stages := Stages(parts, Best(parts, links, need))
	for i := range stages {
		stages[i].From += from
		stages[i].To += from
	}
	if len(stages) == 0 {
		return nil
	}
	return stages
}
