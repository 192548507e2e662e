// Package checker finds faults in declaration files before they are applied: besides what a
// router refuses, entries that can never match and limits that contradict each other.
package checker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/decoder"
	"heatherhold.dev/core/identifier"
)

// Finding is a fault in a file.
type Finding struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Key    string `json:"key"`
	Detail string `json:"detail"`
}

// Report is the result of a check.
type Report struct {
	// Sections is the number of sections in all files; 0 if they could not be decoded.
	Sections int `json:"sections"`
	// Findings is sorted by file, in the order of the files, and line.
	Findings []Finding `json:"findings"`
	// Document holds the sections; nil if the files could not be decoded.
	Document declarer.Document `json:"-"`
}

// Check checks one base file and any number of overlays.
func Check(files []declarer.File) Report {
	decoded, faults := declarer.Decode(files)
	report := Report{}
	if decoded != nil {
		report.Document = decoded.Document()
		report.Sections = len(report.Document)
		c := &check{files: decoded}
		c.ranks()
		c.links()
		faults = append(decoded.Faults(), c.faults...)
	}
	report.Findings = findingsOf(files, faults)
	return report
}

// findingsOf returns the faults as findings, each one once: what a check of this package finds in
// the base, it finds at every site.
func findingsOf(files []declarer.File, faults []*decoder.Error) []Finding {
	findings := make([]Finding, 0, len(faults))
	seen := make(map[Finding]bool)
	for _, f := range faults {
		finding := Finding{
			File:   f.File,
			Line:   f.Line,
			Key:    f.Key,
			Detail: f.Detail,
		}
		if !seen[finding] {
			seen[finding] = true
			findings = append(findings, finding)
		}
	}
	position := make(map[string]int)
	for i, f := range files {
		position[f.Name] = i
	}
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(position[a.File], position[b.File]),
			cmp.Compare(a.Line, b.Line),
		)
	})
	return findings
}

// check collects the faults that a router does not refuse.
type check struct {
	files  *declarer.Files
	faults []*decoder.Error
}

func (c *check) add(site identifier.Site, key, format string, args ...any) {
	c.faults = append(c.faults, c.files.Fault(site, key, fmt.Sprintf(format, args...)))
}

// eachSite calls do with the declaration at each site. Sites whose declaration can't be merged
// are among the faults of the files.
func (c *check) eachSite(do func(identifier.Site, *declarer.Declaration)) {
	for _, site := range c.files.Sites() {
		if d, err := c.files.At(site); err == nil {
			do(site, d)
		}
	}
}

// ranks checks the limits of each rank at each site, and that some caller at some site may use it.
func (c *check) ranks() {
	usable := make(map[identifier.Rank]bool)
	declaredAt := make(map[identifier.Rank]identifier.Site)
	c.eachSite(func(site identifier.Site, d *declarer.Declaration) {
		for _, name := range slices.Sorted(maps.Keys(d.Rank)) {
			r := d.Rank[name]
			if _, ok := declaredAt[name]; !ok {
				declaredAt[name] = site
			}
			usable[name] = usable[name] || mayUse(d, r)
			if wait, first := r.MaxWait.Std(), r.FirstToken.Std(); wait > 0 && wait < first {
				c.add(site, "rank."+string(name)+".max-wait", "%s is below first-token, %s: requests are refused that could still be on time", wait, first)
			}
		}
	})
	for _, name := range slices.Sorted(maps.Keys(declaredAt)) {
		if !usable[name] {
			c.add(declaredAt[name], "rank."+string(name), "no caller may use the rank: none has it or a more urgent one")
		}
	}
}

// mayUse reports whether a caller may request rank r: callers may request their own rank and less
// urgent ones.
func mayUse(d *declarer.Declaration, r declarer.Rank) bool {
	for _, customer := range d.Customer {
		for _, caller := range customer.Caller {
			own, ok := d.Rank[caller.Rank]
			if ok && own.Order <= r.Order {
				return true
			}
		}
	}
	return false
}

// links checks that an overlay names both ends of each link. Without any overlay the data centres
// are not known.
func (c *check) links() {
	named := c.namedDataCentres()
	if len(named) == 0 {
		return
	}
	c.eachSite(func(site identifier.Site, d *declarer.Declaration) {
		for _, name := range slices.Sorted(maps.Keys(d.Link)) {
			l := d.Link[name]
			if l.From != "" && !named[l.From] {
				c.add(site, "link."+name+".from", "no overlay names the data centre %q", l.From)
			}
			if l.To != "" && !named[l.To] {
				c.add(site, "link."+name+".to", "no overlay names the data centre %q", l.To)
			}
		}
	})
}

// namedDataCentres returns the data centres that overlays name: by their site, which has the name
// of its data centre if it has only one, or by a link of their own.
func (c *check) namedDataCentres() map[identifier.DataCentre]bool {
	named := make(map[identifier.DataCentre]bool)
	document := c.files.Document()
	c.eachSite(func(site identifier.Site, d *declarer.Declaration) {
		if site == "" {
			return
		}
		named[identifier.DataCentre(site)] = true
		for name, l := range d.Link {
			if _, own := document[declarer.Key("site/"+string(site)+"/link/"+name)]; own {
				named[l.From] = true
				named[l.To] = true
			}
		}
	})
	return named
}
