// Package explainer reconstructs what happened to one request from the logs of
// many instances: it collects every line with the request's id and the lines of
// the same time about the endpoints that the request used and the instances that
// served it.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is one log line.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Level    string         `json:"level"`
	Event    string         `json:"event"`
	Fields   map[string]any `json:"fields,omitempty"`
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

const (
	// lineLimit is the largest length of a log line, in bytes.
	lineLimit = 1 << 20
	// contextWindow is how long before and after the request's lines the lines
	// about its endpoints and instances are included.
	contextWindow = time.Second
)

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
		lines, skipped, err := readLines(r)
		if err != nil {
			return Report{}, err
		}
		all = append(all, lines...)
		report.Skipped += skipped
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var own []Line
	for _, l := range all {
		if l.textField("request") == request {
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

// readLines returns the log lines of r and the number of lines that it skipped.
// Text before a line's first brace, such as a log collector's prefix, is ignored.
func readLines(r io.Reader) ([]Line, int, error) {
	var lines []Line
	skipped := 0
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, lineLimit)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			skipped++
			continue
		}
		l, ok := parseLine(text[start:])
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "read the log")
}

// parseLine parses one line in the router's JSON log format.
func parseLine(text []byte) (Line, bool) {
	fields := make(map[string]any)
	if json.Unmarshal(text, &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	timestamp, err := time.Parse(time.RFC3339Nano, l.textField("time"))
	if err != nil {
		return Line{}, false
	}
	l.Time = timestamp
	l.Instance = l.textField("instance")
	l.Level = l.textField("level")
	l.Event = l.textField("msg")
	for _, name := range []string{"time", "instance", "level", "msg"} {
		delete(fields, name)
	}
	return l, l.Event != ""
}

// textField returns the value of a text field; empty if there is no such field.
func (l *Line) textField(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// withRelated returns the request's own lines together with the lines of the same
// time about its instances and endpoints.
func withRelated(all, own []Line, request string) []Line {
	from := own[0].Time.Add(-maxHeld(own) - contextWindow)
	to := own[len(own)-1].Time.Add(contextWindow)
	var out []Line
	for _, l := range all {
		switch {
		case l.textField("request") == request:
			out = append(out, l)
		case l.textField("request") != "" || l.Time.Before(from) || l.Time.After(to):
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
		if ms, ok := l.Fields[msField].(float64); ok {
			longest = max(longest, time.Duration(ms)*time.Millisecond)
		}
	}
	return longest
}

// isRelated reports whether a line that names no request is about an endpoint
// that the request used, or, if it names no endpoint, comes from an instance that
// served the request.
func isRelated(l Line, own []Line) bool {
	endpoint := l.textField("endpoint")
	for _, o := range own {
		if endpoint != "" {
			if endpoint == o.textField("endpoint") || endpoint == o.textField("avoided") || strings.Contains(o.textField("chain"), endpoint+":") || strings.Contains(o.textField("error"), endpoint) {
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
