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
		Short: "Tell what happened to a request, from the routers' logs",
		Long: `Tell what happened to a request, from the routers' logs: its own lines in order,
across instances, and beside them (marked with *) what happened at the time to
the endpoints that it used and to the instances that served it.

Logs are the routers' JSON lines, one file or many; without a file they are read
from standard input. What a collector puts before a line is left out.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			logs, closeAll, err := open(c.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			defer closeAll()
			s, err := explainer.Explain(args[0], logs...)
			if err != nil {
				return err
			}
			return printer.Story(c.OutOrStdout(), t.output, s)
		},
	}
}

// open opens the files, or takes in if there are none.
func open(in io.Reader, paths []string) ([]io.Reader, func(), error) {
	if len(paths) == 0 {
		return []io.Reader{in}, func() {}, nil
	}
	var files []*os.File
	closeAll := func() {
		for _, f := range files {
			// The file was only read; there is nothing to lose.
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
