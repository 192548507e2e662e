package main

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"heatherhold.dev/operator/explainer"
	"heatherhold.dev/operator/printer"
)

func (t *tool) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID [FILE ...]",
		Short: "Show what happened to a request, from the routers' logs",
		Long: `Show what happened to a request, from the routers' logs: the log lines of the
request in order of time, across instances, and between them (marked with *) the
events of that time at the endpoints that it used and at the instances that
served it.

The logs are the routers' JSON lines, in one or more files; without a file they
are read from standard input. A prefix that a log collector adds to a line is
ignored.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			logs, closeAll, err := openLogs(c.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			defer closeAll()
			report, err := explainer.Explain(args[0], logs...)
			if err != nil {
				return err
			}
			return printer.Report(c.OutOrStdout(), t.output, report)
		},
	}
}

// openLogs opens the files with the given paths, or returns stdin if there are
// none. The function that it returns closes all files.
func openLogs(stdin io.Reader, paths []string) ([]io.Reader, func(), error) {
	if len(paths) == 0 {
		return []io.Reader{stdin}, func() {}, nil
	}
	var files []*os.File
	closeAll := func() {
		for _, f := range files {
			// The file was only read; an error of Close loses no data.
			_ = f.Close()
		}
	}
	var logs []io.Reader
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			closeAll()
			return nil, nil, errors.Wrap(err, "open the log")
		}
		files = append(files, f)
		logs = append(logs, f)
	}
	return logs, closeAll, nil
}
