package main

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"heatherhold.dev/operator/printer"
	"heatherhold.dev/operator/summarizer"
)

func (t *tool) lossesCommand() *cobra.Command {
	var by string
	c := &cobra.Command{
		Use:   "losses [LOG ...]",
		Short: "Show which callers were served late, refused or failed, from the routers' logs",
		Long: `Show which callers were served late, refused or failed, from the routers' logs:
one row for each customer, route, order, size or error kind, the largest losses
first.

The logs are the routers' JSON lines, of any number of instances, in one or more
files; without a file they are read from standard input. A prefix that a log
collector adds to a line is ignored. Each request has one line that states its
outcome; lines that can't be read, and lines that the instances dropped, are
reported on standard error.`,
		RunE: func(c *cobra.Command, paths []string) error {
			logs, closeAll, err := openLogs(c.InOrStdin(), paths)
			if err != nil {
				return err
			}
			defer closeAll()
			summary, err := summarizer.Summarize(summarizer.Key(by), logs...)
			if err != nil {
				return err
			}
			if err := printer.Losses(c.OutOrStdout(), t.output, summary); err != nil {
				return err
			}
			reportGaps(c.ErrOrStderr(), summary)
			return nil
		},
	}
	c.Flags().StringVar(&by, "by", string(summarizer.ByCustomer), "customer, route, order, size or kind")
	c.PreRunE = func(*cobra.Command, []string) error {
		for _, key := range summarizer.Keys() {
			if by == string(key) {
				return nil
			}
		}
		return &exitError{
			code: exitInvalid,
			err:  errors.Errorf("--by: want customer, route, order, size or kind, got %q", by),
		}
	}
	return c
}

// reportGaps prints what the summary does not contain.
func reportGaps(w io.Writer, s summarizer.Summary) {
	for _, gap := range []struct {
		lines int
		text  string
	}{
		{lines: s.Skipped, text: "could not be read"},
		{lines: s.Dropped, text: "were dropped by the instances, first those of requests served on time"},
		{lines: s.Unstated, text: "end a request and state no outcome, as those of an older build"},
	} {
		if gap.lines > 0 {
			fmt.Fprintf(w, "%d lines %s\n", gap.lines, gap.text)
		}
	}
}
