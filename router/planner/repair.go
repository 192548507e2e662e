package planner

import (
	"slices"

	"heatherhold.dev/core/identifier"
)

// Repair returns chain with replacements for the stages that need.Avoid lists or
// whose layers no runner of the same incarnation holds any longer. The other
// stages keep their layers, so that only the new stages have to process the
// tokens that the request has so far. Repair returns nil if the first stage would
// have to be replaced or if there is no replacement for another one.
func Repair(runners []Runner, links Links, need Need, chain []identifier.Stage) []identifier.Stage {
	if len(chain) == 0 || !canStay(runners, need, chain[0]) {
		return nil
	}
	replacementNeed := need
	for _, s := range chain {
		// An endpoint must not occur twice in a chain.
		replacementNeed.Avoid = append(slices.Clone(replacementNeed.Avoid), s.EndpointIncarnation)
	}
	var out []identifier.Stage
	for i := 0; i < len(chain); {
		if canStay(runners, need, chain[i]) {
			out = append(out, chain[i])
			i++
			continue
		}
		from := chain[i].From
		for i < len(chain) && !canStay(runners, need, chain[i]) {
			i++
		}
		to := chain[i-1].To
		replacementNeed.Entry = dataCentreOf(runners, out[len(out)-1].EndpointIncarnation)
		replacements := cheapestStages(runners, links, replacementNeed, slices.Concat(chain, out), from, to)
		if replacements == nil {
			return nil
		}
		for _, s := range replacements {
			replacementNeed.Avoid = append(replacementNeed.Avoid, s.EndpointIncarnation)
		}
		out = append(out, replacements...)
	}
	return out
}

// canStay reports whether need allows stage s and a runner still holds its layers.
func canStay(runners []Runner, need Need, s identifier.Stage) bool {
	if slices.Contains(need.Avoid, s.EndpointIncarnation) {
		return false
	}
	return slices.ContainsFunc(runners, func(r Runner) bool {
		return r.EndpointIncarnation == s.EndpointIncarnation && r.From <= s.From && s.To <= r.To
	})
}

func dataCentreOf(runners []Runner, incarnation identifier.EndpointIncarnation) identifier.DataCentre {
	for i := range runners {
		if runners[i].EndpointIncarnation == incarnation {
			return runners[i].DataCentre
		}
	}
	return ""
}

// cheapestStages returns the cheapest stages that cover exactly layers [from, to) and share
// no address with chain, or nil if there are none.
func cheapestStages(runners []Runner, links Links, need Need, chain []identifier.Stage, from, to identifier.Layer) []identifier.Stage {
	candidates := make([]Runner, 0, len(runners))
	for _, r := range runners {
		if r.From >= to || r.To <= from || (!need.Partial && (r.From < from || r.To > to)) {
			continue
		}
		if r.Shared && slices.ContainsFunc(chain, func(s identifier.Stage) bool { return s.Address == r.Address }) {
			continue
		}
		layerCount := float64(r.To - r.From)
		r.From = max(r.From, from) - from
		r.To = min(r.To, to) - from
		fraction := float64(r.To-r.From) / layerCount
		r.TokenTime = scale(r.TokenTime, fraction)
		r.PrefillTime = scale(r.PrefillTime, fraction)
		candidates = append(candidates, r)
	}
	need.Layers = to - from
	stages := Stages(candidates, Best(candidates, links, need))
	for i := range stages {
		stages[i].From += from
		stages[i].To += from
	}
	if len(stages) == 0 {
		return nil
	}
	return stages
}
