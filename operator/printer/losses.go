package printer

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"heatherhold.dev/operator/summarizer"
)

// Losses prints how requests ended.
func Losses(w io.Writer, output string, s summarizer.Summary) error {
	if output == JSON {
		return writeJSON(w, s)
	}
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintf(t, "%s\tREQUESTS\tON TIME\tLATE START\tLATE PAUSE\tREFUSED\tFAILED\tCANCELLED\tREFUSED AS\n", strings.ToUpper(string(s.By)))
	for _, g := range s.Groups {
		writeCounts(t, g.Name, g.Counts)
	}
	writeCounts(t, "(all)", s.Total)
	return t.Flush()
}

// writeCounts writes one row of the table of Losses.
func writeCounts(w io.Writer, name string, c summarizer.Counts) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n",
		name, c.Requests, c.OnTime, c.LateStart, c.LatePause, c.RefusedTotal(), c.Failed, c.Cancelled, formatKinds(c.Refused))
}

// formatKinds formats counts by error kind, the largest first.
func formatKinds(counts map[string]int) string {
	var kinds []string
	for kind := range counts {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return strings.Compare(a, b)
	})
	for i, kind := range kinds {
		kinds[i] = fmt.Sprintf("%s=%d", kind, counts[kind])
	}
	return strings.Join(kinds, " ")
}
