package main

import "slices"

// sortResults returns the results in the order in which the requests were sent.
func sortResults(results []result) []result {
	out := slices.Clone(results)
	slices.SortFunc(out, func(a, b result) int { return a.sent.Compare(b.sent) })
	return out
}
