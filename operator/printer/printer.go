// Package printer shows answers to operators, as tables or as JSON.
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

func asJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// Checked says that declarations are valid.
func Checked(w io.Writer, output string, sections int) error {
	if output == JSON {
		return asJSON(w, map[string]int{"sections": sections})
	}
	_, err := fmt.Fprintf(w, "valid: %d sections\n", sections)
	return err
}

// Unchanged says that there is nothing to apply.
func Unchanged(w io.Writer, output string, revision uint64) error {
	if output == JSON {
		return asJSON(w, messenger.Acceptance{
			Revision: revision,
			Accepted: true,
		})
	}
	_, err := fmt.Fprintf(w, "no changes; revision %d\n", revision)
	return err
}

// section is one section that differs.
type section struct {
	Key string `json:"key"`
	Old string `json:"old"`
	New string `json:"new"`
}

// Difference shows what a change does to each section.
func Difference(w io.Writer, output string, base uint64, latest declarer.Document, change declarer.Change) error {
	sections := make([]section, 0, len(change))
	for _, k := range change.Keys() {
		sections = append(sections, section{
			Key: string(k),
			Old: string(latest[k]),
			New: string(change[k]),
		})
	}
	if output == JSON {
		return asJSON(w, struct {
			Base     uint64    `json:"base"`
			Sections []section `json:"sections"`
		}{
			Base:     base,
			Sections: sections,
		})
	}
	for _, s := range sections {
		if _, err := fmt.Fprintf(w, "%s\n%s%s", s.Key, prefixed("- ", s.Old), prefixed("+ ", s.New)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d sections differ from revision %d\n", len(sections), base)
	return err
}

func prefixed(prefix, text string) string {
	var b strings.Builder
	for line := range strings.Lines(text) {
		if strings.TrimSpace(line) != "" {
			b.WriteString("  " + prefix + strings.TrimRight(line, "\n") + "\n")
		}
	}
	return b.String()
}

// Conflict shows both sides of a race.
func Conflict(w io.Writer, output string, r messenger.Refused) error {
	if output == JSON {
		return asJSON(w, r)
	}
	for _, c := range r.Conflicts {
		if _, err := fmt.Fprintf(w, "%s\n%s%s", c.Key, prefixed("theirs: ", c.Theirs), prefixed("yours:  ", c.Yours)); err != nil {
			return err
		}
	}
	return nil
}

// Accepted says that a revision is in force everywhere.
func Accepted(w io.Writer, output string, a messenger.Acceptance) error {
	if output == JSON {
		return asJSON(w, a)
	}
	_, err := fmt.Fprintf(w, "accepted: revision %d is in force everywhere\n", a.Revision)
	return err
}

// Pending says that a revision is committed, and who does not have it yet.
func Pending(w io.Writer, output string, a messenger.Acceptance) error {
	if output == JSON {
		return asJSON(w, a)
	}
	_, err := fmt.Fprintf(w, "committed: revision %d; waiting for %s\n", a.Revision, Waiting(a))
	return err
}

// Waiting names what a revision waits for: instances, or else the term after the
// commit.
func Waiting(a messenger.Acceptance) string {
	if len(a.Waiting) == 0 {
		return "one term to pass"
	}
	names := make([]string, 0, len(a.Waiting))
	for _, i := range a.Waiting {
		names = append(names, i.Instance+" ("+i.Site+")")
	}
	return strings.Join(names, ", ")
}

// Configuration shows the declarations in force.
func Configuration(w io.Writer, output string, c messenger.Configuration) error {
	if output == JSON {
		return asJSON(w, c)
	}
	keys := make([]string, 0, len(c.Entries))
	for k := range c.Entries {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		if _, err := fmt.Fprintf(w, "%s\n%s", k, prefixed("", c.Entries[k])); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "revision %d\n", c.Revision)
	return err
}

// Drained shows which lives were marked.
func Drained(w io.Writer, output string, d messenger.Drained) error {
	if output == JSON {
		return asJSON(w, d)
	}
	if _, err := fmt.Fprintf(w, "drained: %s\n", strings.Join(d.Lives, ", ")); err != nil {
		return err
	}
	if d.Kept {
		return nil
	}
	_, err := fmt.Fprintln(w, "the table service did not answer: the mark lives in the instances alone; repeat the drain later")
	return err
}

// Status shows a router's view.
func Status(w io.Writer, output string, s messenger.Status) error {
	if output == JSON {
		return asJSON(w, s)
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
		fmt.Fprintf(t, "%s\t%t\t%d\t%d\n", p.Service, p.Alone, p.Waiting, p.Running)
	}
	return t.Flush()
}
