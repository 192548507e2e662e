// Package comparer replays each scenario with each strategy, a scheduling policy
// with a name, and prints the measures of all replays in one table.
package comparer

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Compare replays every scenario with every strategy and writes a table to out
// that has one row for each replay. If plotFile is not empty, it also draws a plot
// to that file. If onlyStrategy is not empty, only the strategy of that name is
// replayed.
func Compare(out io.Writer, plotFile, onlyStrategy string) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\tway\tof bound\turgent first p95\turgent gap p95\turgent\tshorten\tbatch\tpaying tok/s\trefused\turgent refused\tjain\tworst\trecovery\tsends\treused")
	var all []Measures
	for _, s := range Scenarios() {
		for _, strategy := range Strategies {
			if onlyStrategy != "" && onlyStrategy != strategy.Name {
				continue
			}
			m := Measure(s, strategy)
			all = append(all, m)
			writeRow(t, m)
		}
	}
	if err := t.Flush(); err != nil || plotFile == "" {
		return err
	}
	return drawPlot(plotFile, all)
}

func writeRow(t io.Writer, m Measures) {
	fmt.Fprintf(t, "%s\t%s\t%.3f\t%v\t%v\t%.2f\t%.2f\t%.2f\t%.0f\t%.3f\t%.3f\t%.3f\t%.2f\t%s\t%.2f\t%.3f\n",
		m.Scenario, m.Strategy, m.Throughput, m.UrgentFirstToken.Round(time.Millisecond), m.UrgentGap.Round(100*time.Microsecond),
		m.Share["urgent"], m.Share["shorten"], m.Share["batch"], m.PayingRate, m.RefusedShare, m.UrgentRefusedShare, m.JainIndex, m.WorstRatio,
		formatRecovery(m.Recovery), m.ChainsPerRequest, m.CacheHitRatio)
}

func formatRecovery(d time.Duration) string {
	switch {
	case d < 0:
		return "never"
	case d == 0:
		return "-"
	}
	return d.String()
}
