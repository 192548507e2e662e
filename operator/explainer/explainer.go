// Package explainer tells the story of one request from the log lines of many
// instances: every line that bears its id, and, around them, what happened to
// the endpoints that it used and to the instances that served it.
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
	// Aside is set for a line that does not name the request.
	Aside bool `json:"aside,omitempty"`
}

// Story is what the logs tell of a request, in order.
type Story struct {
	Request string `json:"request"`
	// Outcome is the event that ended it; empty if the logs don't have it.
	Outcome string `json:"outcome"`
	Lines   []Line `json:"lines"`
	// Skipped counts the lines that are no log lines.
	Skipped int `json:"skipped"`
}

// ErrUnknown says that no line names the request.
var ErrUnknown = errors.New("no log line names the request")

const (
	// lineLimit bounds one log line, in bytes.
	lineLimit = 1 << 20
	// around is how long before and after its lines other events are told.
	around = time.Second
)

// endings are the events that end a request, as a caller sees it.
var endings = []string{
	"request served",
	"request served late",
	"request not served",
	"answer broken off",
	"caller went away",
}

// Explain reads log lines and returns the story of a request.
func Explain(request string, logs ...io.Reader) (Story, error) {
	s := Story{Request: request}
	var all []Line
	for _, r := range logs {
		lines, skipped, err := read(r)
		if err != nil {
			return Story{}, err
		}
		all = append(all, lines...)
		s.Skipped += skipped
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var own []Line
	for _, l := range all {
		if l.text("request") == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return s, errors.Wrapf(ErrUnknown, "%q", request)
	}
	for _, l := range own {
		if slices.Contains(endings, l.Event) {
			s.Outcome = l.Event
		}
	}
	s.Lines = withAsides(all, own, request)
	return s, nil
}

// read returns the log lines of r. What stands before a line's first brace, such
// as a collector's prefix, is left out.
func read(r io.Reader) ([]Line, int, error) {
	var lines []Line
	skipped := 0
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, lineLimit)
	for scan.Scan() {
		text := scan.Bytes()
		at := bytes.IndexByte(text, '{')
		if at < 0 {
			skipped++
			continue
		}
		l, ok := parse(text[at:])
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, errors.Wrap(scan.Err(), "read the log")
}

// parse reads one line as the router writes it.
func parse(text []byte) (Line, bool) {
	fields := make(map[string]any)
	if json.Unmarshal(text, &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	when, err := time.Parse(time.RFC3339Nano, l.text("time"))
	if err != nil {
		return Line{}, false
	}
	l.Time = when
	l.Instance = l.text("instance")
	l.Level = l.text("level")
	l.Event = l.text("msg")
	for _, name := range []string{"time", "instance", "level", "msg"} {
		delete(fields, name)
	}
	return l, l.Event != ""
}

// text returns a field that holds text; empty if there is none.
func (l *Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// withAsides returns a request's own lines among what else happened to its
// instances and endpoints at the time.
func withAsides(all, own []Line, request string) []Line {
	from := own[0].Time.Add(-held(own) - around)
	to := own[len(own)-1].Time.Add(around)
	var out []Line
	for _, l := range all {
		switch {
		case l.text("request") == request:
			out = append(out, l)
		case l.text("request") != "" || l.Time.Before(from) || l.Time.After(to):
		case touches(l, own):
			l.Aside = true
			out = append(out, l)
		}
	}
	return out
}

// held returns how long an instance had the request before its first line.
func held(own []Line) time.Duration {
	const msField = "held-ms"
	longest := time.Duration(0)
	for _, l := range own {
		if ms, ok := l.Fields[msField].(float64); ok {
			longest = max(longest, time.Duration(ms)*time.Millisecond)
		}
	}
	return longest
}

// touches reports whether a line that names no request tells of an endpoint that
// the request used, or of an instance that served it.
func touches(l Line, own []Line) bool {
	endpoint := l.text("endpoint")
	for _, o := range own {
		if endpoint != "" {
			if endpoint == o.text("endpoint") || endpoint == o.text("avoided") || strings.Contains(o.text("chain"), endpoint+":") || strings.Contains(o.text("error"), endpoint) {
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
