// Replayer replays generated traces through the scheduling policy and its
// baselines, with fake endpoints in fake time, and prints all measures side by
// side. It prints the same each time.
package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"heatherhold.dev/replayer/tracer"
)

func main() {
	if err := newRoot().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "replayer:", err)
		os.Exit(1)
	}
}

func newRoot() *cobra.Command {
	plot := ""
	root := &cobra.Command{
		Use:           "replayer",
		Short:         "Replays traces through the policy and its baselines",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return compare(c.OutOrStdout(), plot)
		},
	}
	root.Flags().StringVar(&plot, "plot", "", "also draw tokens a second over time to this SVG file")
	root.AddCommand(&cobra.Command{
		Use:   "trace SCENARIO",
		Short: "Print a scenario's trace",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, s := range scenarios() {
				if s.name == args[0] {
					return tracer.Write(c.OutOrStdout(), trace(s))
				}
			}
			return fmt.Errorf("there is no scenario %q", args[0])
		},
	})
	return root
}

func trace(s scenario) []tracer.Request {
	return tracer.Generate(seed, s.flows)
}

// compare prints a line for each scenario and way.
func compare(out io.Writer, plot string) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\tway\tof bound\turgent first p95\turgent gap p95\turgent\tshorten\tbatch\tpaying tok/s\trefused\tjain\tworst\trecovery\tsends\treused")
	var all []measures
	for _, s := range scenarios() {
		for _, w := range ways {
			m := measure(s, w)
			all = append(all, m)
			line(t, m)
		}
	}
	if err := t.Flush(); err != nil || plot == "" {
		return err
	}
	return draw(plot, all)
}

func line(t io.Writer, m measures) {
	fmt.Fprintf(t, "%s\t%s\t%.3f\t%v\t%v\t%.2f\t%.2f\t%.2f\t%.0f\t%.3f\t%.3f\t%.2f\t%s\t%.2f\t%.3f\n",
		m.Scenario, m.Way, m.Throughput, m.UrgentFirst.Round(time.Millisecond), m.UrgentGap.Round(100*time.Microsecond),
		m.Share["urgent"], m.Share["shorten"], m.Share["batch"], m.Paying, m.Refused, m.Jain, m.Worst,
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
