// Package explainer reconstructs what happened to one request from the logs of
// many instances: it collects every line with the request's id and the lines of
// the same time about the endpoints that the request used and the instances that
// served it.
package explainer

import (
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/operator/reader"
)

// Line is one log line.
type Line struct {
	reader.Line
	// Related is set for a line that does not name the request but is about an
	// endpoint that it used or an instance that served it.
	Related bool `json:"aside,omitempty"`
}

// Report is what the logs contain about a request, in order of time.
type Report struct {
	Request string `json:"request"`
	// Outcome is the event that ended the request; empty if the logs don't contain it.
	Outcome string `json:"outcome"`
	Lines   []Line `json:"lines"`
	// Skipped is the number of lines that are not log lines.
	Skipped int `json:"skipped"`
}

// ErrNotFound is returned if no line names the request.
var ErrNotFound = errors.New("no log line names the request")

// contextWindow is how long before and after the request's lines the lines about its
// endpoints and instances are included.
const contextWindow = time.Second

// finalEvents are the events that end a request from the caller's point of view.
var finalEvents = []string{
	"request served",
	"request served late",
	"request not served",
	"answer broken off",
	"caller went away",
}

// Explain reads logs and returns the report on a request.
func Explain(request string, logs ...io.Reader) (Report, error) {
	report := Report{Request: request}
	var all []Line
	for _, r := range logs {
		skipped, err := reader.Each(r, func(l reader.Line) {
			all = append(all, Line{Line: l})
		})
		if err != nil {
			return Report{}, err
		}
		report.Skipped += skipped
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var own []Line
	for _, l := range all {
		if l.Text("request") == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return report, errors.Wrapf(ErrNotFound, "%q", request)
	}
	for _, l := range own {
		if slices.Contains(finalEvents, l.Event) {
			report.Outcome = l.Event
		}
	}
	report.Lines = withRelated(all, own, request)
	return report, nil
}

// withRelated returns the request's own lines together with the lines of the same
// time about its instances and endpoints.
func withRelated(all, own []Line, request string) []Line {
	from := own[0].Time.Add(-maxHeld(own) - contextWindow)
	to := own[len(own)-1].Time.Add(contextWindow)
	var out []Line
	for _, l := range all {
		switch {
		case l.Text("request") == request:
			out = append(out, l)
		case l.Text("request") != "" || l.Time.Before(from) || l.Time.After(to):
		case isRelated(l, own):
			l.Related = true
			out = append(out, l)
		}
	}
	return out
}

// maxHeld returns the longest time, by the field held-ms of the request's own lines,
// for which an instance held the request: the request may have arrived that long
// before its first line.
func maxHeld(own []Line) time.Duration {
	const msField = "held-ms"
	longest := time.Duration(0)
	for _, l := range own {
		if ms, ok := l.Number(msField); ok {
			longest = max(longest, time.Duration(ms)*time.Millisecond)
		}
	}
	return longest
}

// isRelated reports whether a line that names no request is about an endpoint
// that the request used, or, if it names no endpoint, comes from an instance that
// served the request.
func isRelated(l Line, own []Line) bool {
	endpoint := l.Text("endpoint")
	for _, o := range own {
		if endpoint != "" {
			if endpoint == o.Text("endpoint") || endpoint == o.Text("avoided") || strings.Contains(o.Text("chain"), endpoint+":") || strings.Contains(o.Text("error"), endpoint) {
				return true
			}
			continue
		}
		if l.Instance == o.Instance {
			return true
		}
	}
	return false
}
