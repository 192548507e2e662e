// Replayer replays generated traces through the scheduling policy and its
// baselines, with fake endpoints in fake time, and prints all measures side by
// side. It prints the same each time.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"heatherhold.dev/replayer/comparer"
	"heatherhold.dev/replayer/tracer"
)

func main() {
	if err := newRoot().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "replayer:", err)
		os.Exit(1)
	}
}

func newRoot() *cobra.Command {
	plot, only := "", ""
	root := &cobra.Command{
		Use:           "replayer",
		Short:         "Replays traces through the policy and its baselines",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return comparer.Compare(c.OutOrStdout(), plot, only)
		},
	}
	root.Flags().StringVar(&plot, "plot", "", "also draw tokens a second over time to this SVG or PNG file")
	root.Flags().StringVar(&only, "way", "", "replay only this way of scheduling")
	root.AddCommand(&cobra.Command{
		Use:   "trace SCENARIO",
		Short: "Print a scenario's trace",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, ok := comparer.Find(args[0])
			if !ok {
				return fmt.Errorf("there is no scenario %q", args[0])
			}
			return tracer.Write(c.OutOrStdout(), s.Trace())
		},
	})
	return root
}
