// Replayer replays generated request traces through the scheduling policy and
// its baselines, with simulated endpoints and simulated time, and prints a table
// of the measures. Its output is the same on each run.
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
	plotFile, strategy := "", ""
	root := &cobra.Command{
		Use:           "replayer",
		Short:         "Replays traces through the scheduling policy and its baselines",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return comparer.Compare(cmd.OutOrStdout(), plotFile, strategy)
		},
	}
	root.Flags().StringVar(&plotFile, "plot", "", "also plot tokens per second over time to this SVG or PNG file")
	root.Flags().StringVar(&strategy, "way", "", "replay only the scheduling strategy of this name")
	root.AddCommand(&cobra.Command{
		Use:   "trace SCENARIO",
		Short: "Print a scenario's trace",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			scenario, ok := comparer.Find(args[0])
			if !ok {
				return fmt.Errorf("unknown scenario %q", args[0])
			}
			return tracer.Write(cmd.OutOrStdout(), scenario.Trace())
		},
	})
	return root
}
