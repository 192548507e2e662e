// Package printer prints the results of the operators' commands, as tables or as
// JSON.
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/messenger"
)

// JSON is the output format for programs.
const JSON = "json"

const columnGap = 2 // spaces

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// Unchanged prints that there are no changes to apply.
func Unchanged(w io.Writer, output string, revision uint64) error {
	if output == JSON {
		return writeJSON(w, messenger.Acceptance{
			Revision: revision,
			Accepted: true,
		})
	}
	_, err := fmt.Fprintf(w, "no changes; revision %d\n", revision)
	return err
}

// section is one section that differs between two documents.
type section struct {
	Key string `json:"key"`
	Old string `json:"old"`
	New string `json:"new"`
}

// Difference prints the old and new contents of each section that a change affects.
func Difference(w io.Writer, output string, base uint64, latest declarer.Document, change declarer.Change) error {
	d := NewComparison(base, latest, change)
	if output == JSON {
		return writeJSON(w, d)
	}
	return d.write(w)
}

// Comparison is the sections that a change affects on a base revision.
type Comparison struct {
	Base     uint64    `json:"base"`
	Sections []section `json:"sections"`
}

// NewComparison returns the old and new contents of each section that a change affects.
func NewComparison(base uint64, latest declarer.Document, change declarer.Change) *Comparison {
	d := &Comparison{
		Base:     base,
		Sections: make([]section, 0, len(change)),
	}
	for _, k := range change.Keys() {
		d.Sections = append(d.Sections, section{
			Key: string(k),
			Old: string(latest[k]),
			New: string(change[k]),
		})
	}
	return d
}

// write writes the comparison as text.
func (d *Comparison) write(w io.Writer) error {
	for _, s := range d.Sections {
		if _, err := fmt.Fprintf(w, "%s\n%s%s", s.Key, prefixLines("- ", s.Old), prefixLines("+ ", s.New)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d sections differ from revision %d\n", len(d.Sections), d.Base)
	return err
}

func prefixLines(prefix, text string) string {
	var b strings.Builder
	for line := range strings.Lines(text) {
		if strings.TrimSpace(line) != "" {
			b.WriteString("  " + prefix + strings.TrimRight(line, "\n") + "\n")
		}
	}
	return b.String()
}

// Conflict prints both sides of each section in which a refused change conflicts
// with committed ones.
func Conflict(w io.Writer, output string, r messenger.ChangeRefused) error {
	if output == JSON {
		return writeJSON(w, r)
	}
	for _, c := range r.Conflicts {
		if _, err := fmt.Fprintf(w, "%s\n%s%s", c.Key, prefixLines("theirs: ", c.Theirs), prefixLines("yours:  ", c.Yours)); err != nil {
			return err
		}
	}
	return nil
}

// Accepted prints that a revision is in force everywhere.
func Accepted(w io.Writer, output string, a messenger.Acceptance) error {
	if output == JSON {
		return writeJSON(w, a)
	}
	_, err := fmt.Fprintf(w, "accepted: revision %d is in force everywhere\n", a.Revision)
	return err
}

// Pending prints that a revision is committed, and what its acceptance waits for.
func Pending(w io.Writer, output string, a messenger.Acceptance) error {
	if output == JSON {
		return writeJSON(w, a)
	}
	_, err := fmt.Fprintf(w, "committed: revision %d; waiting for %s\n", a.Revision, Waiting(a))
	return err
}

// Waiting describes what the acceptance of a revision waits for: the instances
// that lack it, or, if there are none, that the time peer.term passes after the
// commit.
func Waiting(a messenger.Acceptance) string {
	if len(a.Waiting) == 0 {
		return "the time peer.term to pass after the commit"
	}
	names := make([]string, 0, len(a.Waiting))
	for _, i := range a.Waiting {
		names = append(names, i.Instance+" ("+i.Site+")")
	}
	return strings.Join(names, ", ")
}

// Configuration prints the declarations in force.
func Configuration(w io.Writer, output string, c messenger.Configuration) error {
	if output == JSON {
		return writeJSON(w, c)
	}
	keys := make([]string, 0, len(c.Entries))
	for k := range c.Entries {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		if _, err := fmt.Fprintf(w, "%s\n%s", k, prefixLines("", c.Entries[k])); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "revision %d\n", c.Revision)
	return err
}

// Drained prints the incarnations that were marked as leaving.
func Drained(w io.Writer, output string, d messenger.Drained) error {
	if output == JSON {
		return writeJSON(w, d)
	}
	if _, err := fmt.Fprintf(w, "drained: %s\n", strings.Join(d.Incarnations, ", ")); err != nil {
		return err
	}
	if d.Stored {
		return nil
	}
	_, err := fmt.Fprintln(w, "the table service did not respond: the drain is recorded only by the instances; repeat it later")
	return err
}

// Status prints a router's view of the system.
func Status(w io.Writer, output string, s messenger.Status) error {
	if output == JSON {
		return writeJSON(w, s)
	}
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintf(t, "instance\t%s\n", s.Instance)
	fmt.Fprintf(t, "revision\t%d\n", s.Revision)
	fmt.Fprintf(t, "confirmed\t%t\n", s.Confirmed)
	fmt.Fprintf(t, "live\t%s\n", strings.Join(s.Live, " "))
	fmt.Fprintf(t, "\nMEMBER\tSITE\tLEAVING\n")
	for _, m := range s.Members {
		fmt.Fprintf(t, "%s\t%s\t%t\n", m.Instance, m.Site, m.Leaving)
	}
	fmt.Fprintf(t, "\nSERVICE\tENDPOINT\tINCARNATION\tDATA CENTRE\tADDRESS\n")
	for _, e := range s.Endpoints {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\n", e.Service, e.Endpoint, e.Incarnation, e.DataCentre, e.Address)
	}
	fmt.Fprintf(t, "\nPOOL\tALONE\tWAITING\tRUNNING\n")
	for _, p := range s.Pools {
		fmt.Fprintf(t, "%s\t%t\t%d\t%d\n", p.Service, p.Standalone, p.Waiting, p.Running)
	}
	return t.Flush()
}
