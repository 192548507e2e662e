package printer

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"heatherhold.dev/operator/explainer"
)

// timeFormat is the format of a line's time of day.
const timeFormat = "15:04:05.000000"

// Report prints what the logs contain about a request.
func Report(w io.Writer, output string, report explainer.Report) error {
	if output == JSON {
		return writeJSON(w, report)
	}
	outcome := report.Outcome
	if outcome == "" {
		outcome = "outcome not in these logs"
	}
	fmt.Fprintf(w, "request %s: %s\n\n", report.Request, outcome)
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, l := range report.Lines {
		mark := ""
		if l.Related {
			mark = "*"
		}
		fmt.Fprintf(t, "%s\t%s\t%s%s\t%s\n", l.Time.Format(timeFormat), l.Instance, mark, l.Event, formatFields(l.Fields))
	}
	return t.Flush()
}

// formatFields returns a line's fields, sorted by name, without the request's id,
// which Report prints in the heading.
func formatFields(fields map[string]any) string {
	var parts []string
	for name, value := range fields {
		if name == "request" {
			continue
		}
		text := fmt.Sprint(value)
		if strings.ContainsAny(text, " \t\n") {
			text = fmt.Sprintf("%q", text)
		}
		parts = append(parts, name+"="+text)
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
