// Package comparer replays Scenarios through each way of scheduling and sets
// the Measures side by side.
package comparer

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Compare prints a line for each scenario and way, and draws plot if it is named;
// only, if it is named, is the one way that is replayed.
func Compare(out io.Writer, plot, only string) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\tway\tof bound\turgent first p95\turgent gap p95\turgent\tshorten\tbatch\tpaying tok/s\trefused\turgent refused\tjain\tworst\trecovery\tsends\treused")
	var all []Measures
	for _, s := range Scenarios() {
		for _, w := range Ways {
			if only != "" && only != w.Name {
				continue
			}
			m := Measure(s, w)
			all = append(all, m)
			line(t, m)
		}
	}
	if err := t.Flush(); err != nil || plot == "" {
		return err
	}
	return draw(plot, all)
}

func line(t io.Writer, m Measures) {
	fmt.Fprintf(t, "%s\t%s\t%.3f\t%v\t%v\t%.2f\t%.2f\t%.2f\t%.0f\t%.3f\t%.3f\t%.3f\t%.2f\t%s\t%.2f\t%.3f\n",
		m.Scenario, m.Way, m.Throughput, m.UrgentFirst.Round(time.Millisecond), m.UrgentGap.Round(100*time.Microsecond),
		m.Share["urgent"], m.Share["shorten"], m.Share["batch"], m.Paying, m.Refused, m.UrgentRefused, m.Jain, m.Worst,
		recoveryText(m.Recovery), m.Sends, m.Reused)
}

func recoveryText(d time.Duration) string {
	switch {
	case d < 0:
		return "never"
	case d == 0:
		return "-"
	}
	return d.String()
}
