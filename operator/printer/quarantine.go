package printer

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"heatherhold.dev/core/messenger"
)

// Quarantine prints the requests and the parts of prompts that are suspected or condemned.
func Quarantine(w io.Writer, output string, q messenger.QuarantineList) error {
	if output == JSON {
		return writeJSON(w, q)
	}
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	// Errors of the tabwriter are returned by Flush.
	_, _ = fmt.Fprintln(t, "PART OR REQUEST\tVERDICT\tCRASHES\tLAST CRASH\tNEXT TEST")
	for _, p := range q.Parts {
		verdict := "suspected"
		if p.Condemned {
			verdict = "condemned"
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%s ago\tin %s\n", p.Part, verdict, p.Crashes, seconds(p.LastCrashMs), seconds(p.TestInMs))
	}
	return t.Flush()
}

// seconds formats milliseconds in whole seconds.
func seconds(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second)
}

// Released prints that a part was released.
func Released(w io.Writer, output string, r messenger.PartRelease) error {
	if output == JSON {
		return writeJSON(w, r)
	}
	_, err := fmt.Fprintf(w, "released: %s\n", r.Part)
	return err
}
