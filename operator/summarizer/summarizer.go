// Package summarizer counts how requests ended, from the logs of many instances: which were
// served on time, served late, refused or failed, by customer, route, order, size or kind.
package summarizer

import (
	"cmp"
	"io"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"heatherhold.dev/operator/reader"
)

// Key is what requests are grouped by.
type Key string

// The keys. ByKind groups by the error kind of refused and failed requests and by the outcome of
// all others.
const (
	ByCustomer Key = "customer"
	ByRoute    Key = "route"
	ByOrder    Key = "order"
	BySize     Key = "size"
	ByKind     Key = "kind"
)

// Keys returns every key.
func Keys() []Key {
	return []Key{ByCustomer, ByRoute, ByOrder, BySize, ByKind}
}

// Outcomes in the field "outcome" of the last line of a request.
const (
	onTime    = "on-time"
	lateStart = "late-start"
	latePause = "late-pause"
	refused   = "refused"
	failed    = "failed"
	cancelled = "cancelled"
)

// unknown is the name of the group of requests whose lines do not have the value.
const unknown = "none"

// Counts counts requests by how they ended.
type Counts struct {
	Requests  int `json:"requests"`
	OnTime    int `json:"on-time"`
	LateStart int `json:"late-start"`
	LatePause int `json:"late-pause"`
	// Refused counts by error kind.
	Refused map[string]int `json:"refused"`
	Failed  int            `json:"failed"`
	// Cancelled requests were ended by their callers; they are no losses.
	Cancelled int `json:"cancelled"`
}

// newCounts returns counts of 0.
func newCounts() Counts {
	return Counts{Refused: make(map[string]int)}
}

// RefusedTotal returns the number of refused requests.
func (c *Counts) RefusedTotal() int {
	sum := 0
	for _, n := range c.Refused {
		sum += n
	}
	return sum
}

// Losses returns the number of requests that were late, refused or failed.
func (c *Counts) Losses() int {
	return c.LateStart + c.LatePause + c.RefusedTotal() + c.Failed
}

// add counts a request; ok is false if its outcome is not known.
func (c *Counts) add(outcome, kind string) (ok bool) {
	switch outcome {
	case onTime:
		c.OnTime++
	case lateStart:
		c.LateStart++
	case latePause:
		c.LatePause++
	case refused:
		c.Refused[kind]++
	case failed:
		c.Failed++
	case cancelled:
		c.Cancelled++
	default:
		return false
	}
	c.Requests++
	return true
}

// Group is the requests with one value of the key.
type Group struct {
	Name string `json:"name"`
	Counts
}

// Summary is what the logs contain about all requests.
type Summary struct {
	By Key `json:"by"`
	// Groups is sorted by losses, the largest first.
	Groups []Group `json:"groups"`
	Total  Counts  `json:"total"`
	// Skipped is the number of lines that are not log lines.
	Skipped int `json:"skipped"`
	// Dropped is the number of lines that the instances report to have dropped. The
	// first ones that an instance drops are those of requests that were served on time.
	Dropped int `json:"dropped"`
	// Unstated is the number of lines that end a request and state no known outcome, as
	// those of an older build.
	Unstated int `json:"unstated"`
}

// droppedEvent reports, in the field "lines", how many lines an instance dropped.
const droppedEvent = "log lines dropped"

// finalEvents end a request; each of their lines states an outcome.
var finalEvents = []string{
	"request served",
	"request served late",
	"request not served",
	"answer broken off",
	"caller went away",
}

// Summarize reads logs and returns the summary of their requests.
func Summarize(by Key, logs ...io.Reader) (Summary, error) {
	if !slices.Contains(Keys(), by) {
		return Summary{}, errors.Errorf("requests can't be grouped by %q", by)
	}
	s := Summary{
		By:     by,
		Groups: []Group{},
		Total:  newCounts(),
	}
	groups := make(map[string]Counts)
	for _, r := range logs {
		skipped, err := reader.Each(r, func(l reader.Line) { s.add(groups, l) })
		if err != nil {
			return Summary{}, err
		}
		s.Skipped += skipped
	}
	for name, counts := range groups {
		s.Groups = append(s.Groups, Group{
			Name:   name,
			Counts: counts,
		})
	}
	slices.SortFunc(s.Groups, func(a, b Group) int {
		return cmp.Or(
			cmp.Compare(b.Losses(), a.Losses()),
			cmp.Compare(b.Requests, a.Requests),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return s, nil
}

// add counts what a line says.
func (s *Summary) add(groups map[string]Counts, l reader.Line) {
	if l.Event == droppedEvent {
		n, _ := l.Number("lines")
		s.Dropped += int(n)
		return
	}
	outcome := l.Text("outcome")
	if outcome == "" && !slices.Contains(finalEvents, l.Event) {
		return
	}
	kind := cmp.Or(l.Text("kind"), unknown)
	if !s.Total.add(outcome, kind) {
		s.Unstated++
		return
	}
	name := nameOf(s.By, l)
	counts, ok := groups[name]
	if !ok {
		counts = newCounts()
	}
	counts.add(outcome, kind)
	groups[name] = counts
}

// nameOf returns the name of the group that a line belongs to.
func nameOf(by Key, l reader.Line) string {
	switch by {
	case ByKind:
		return cmp.Or(l.Text("kind"), l.Text("outcome"))
	case ByOrder:
		// The order is negative if no route was found for the request.
		order, ok := l.Number(string(ByOrder))
		if !ok || order < 0 && l.Text("route") == "" {
			return unknown
		}
		return strconv.FormatFloat(order, 'f', -1, 64)
	}
	return cmp.Or(l.Text(string(by)), unknown)
}
