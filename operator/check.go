package main

import (
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"heatherhold.dev/operator/checker"
	"heatherhold.dev/operator/printer"
)

// exitFindings is the exit code of a check that found faults.
const exitFindings = 1

const checkHelp = `Check declarations before they are applied. The output names file, line and key of

- each error for which a router would refuse the files
- entries that can never match: a caller's rank or service that is not declared,
  a link between data centres that no overlay names, a rank that no caller may use
- limits that contradict each other: a max-wait below first-token, shares over 1,
  ranks of the same order

With --against, the output also has what the files would change of the version in
force at a router. A difference is not a finding; "operator diff" has an exit code
for it.

Exit codes: 0 no findings, 1 findings, 2 no files named, or the files or the version in force could
not be read.`

func (t *tool) checkCommand() *cobra.Command {
	var against string
	c := &cobra.Command{
		Use:   "check" + filesUsage,
		Short: "Check declarations before they are applied",
		Long:  checkHelp,
		Args:  checkArguments,
		RunE: func(c *cobra.Command, paths []string) error {
			files, err := readFiles(paths)
			if err != nil {
				return err
			}
			report := checker.Check(files)
			comparison, compareErr := t.compareAgainst(c, against, report)
			if err := printer.Checked(c.OutOrStdout(), t.output, report, comparison); err != nil {
				return err
			}
			if compareErr != nil {
				return &exitError{
					code: exitInvalid,
					err:  compareErr,
				}
			}
			if n := len(report.Findings); n > 0 {
				return &exitError{
					code: exitFindings,
					err:  errors.Errorf("findings: %d", n),
				}
			}
			return nil
		},
	}
	c.Flags().StringVar(&against, "against", "", "operator address of a router to compare with, as http://HOST:PORT")
	return c
}

// checkArguments requires at least one file. Its error has the exit code of files that could not be
// read, since 1 means that there are findings.
func checkArguments(c *cobra.Command, args []string) error {
	if err := cobra.MinimumNArgs(1)(c, args); err != nil {
		return &exitError{
			code: exitInvalid,
			err:  err,
		}
	}
	return nil
}

// compareAgainst returns what the checked files would change of the version in force at the
// router with the given URL; nil if there is no URL or the files could not be decoded.
func (t *tool) compareAgainst(c *cobra.Command, url string, report checker.Report) (*printer.Comparison, error) {
	if url == "" || report.Document == nil {
		return nil, nil
	}
	client := t.client
	client.URL = url
	d, err := compare(c.Context(), &client, report.Document)
	if err != nil {
		return nil, errors.Wrap(err, "compare with the version in force")
	}
	return printer.NewComparison(d.base, d.latest, d.change), nil
}
