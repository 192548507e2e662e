package printer

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"heatherhold.dev/operator/explainer"
)

// clockFormat shows a line's time of day.
const clockFormat = "15:04:05.000000"

// Story shows what logs tell of a request.
func Story(w io.Writer, output string, s explainer.Story) error {
	if output == JSON {
		return asJSON(w, s)
	}
	outcome := s.Outcome
	if outcome == "" {
		outcome = "not in these logs"
	}
	fmt.Fprintf(w, "request %s: %s\n\n", s.Request, outcome)
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, l := range s.Lines {
		mark := ""
		if l.Aside {
			mark = "*"
		}
		fmt.Fprintf(t, "%s\t%s\t%s%s\t%s\n", l.Time.Format(clockFormat), l.Instance, mark, l.Event, fieldsText(l.Fields))
	}
	return t.Flush()
}

// fieldsText writes a line's fields in order of their names; the request's id
// stands above.
func fieldsText(fields map[string]any) string {
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
