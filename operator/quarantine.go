package main

import (
	"github.com/spf13/cobra"

	"heatherhold.dev/operator/printer"
)

func (t *tool) quarantineCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "quarantine",
		Short: "List the requests and parts of prompts that crash endpoints",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			q, err := t.client.Quarantine(c.Context())
			if err != nil {
				return err
			}
			return printer.Quarantine(c.OutOrStdout(), t.output, q)
		},
	}
	c.AddCommand(t.releaseCommand())
	return c
}

func (t *tool) releaseCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "release NAME",
		Short: "Send a request, or requests with a part of prompts, again",
		Long: `Send requests with a part of prompts again, or a whole request, at all instances.

The name is that of the part, or "request:" and the fingerprint of the request.

The crashes so far count no longer against it; if endpoints go on to crash
under it, it is condemned again.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			r, err := t.client.ReleasePart(c.Context(), args[0])
			if err != nil {
				return err
			}
			return printer.Released(c.OutOrStdout(), t.output, r)
		},
	}
}
