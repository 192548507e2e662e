package main

import (
	"github.com/spf13/cobra"

	"heatherhold.dev/operator/printer"
)

func (t *tool) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show a router's view: instances, endpoints, pools and revision",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := t.client.Status(c.Context())
			if err != nil {
				return err
			}
			return printer.Status(c.OutOrStdout(), t.output, s)
		},
	}
}

func (t *tool) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "drain ENDPOINT",
		Short: "Send no new work to an endpoint; its running requests are finished",
		Long: `Send no new work to an endpoint; its running requests are finished.

The drain applies to the endpoint's current incarnation and can't be undone. After
a restart the endpoint gets work again.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			d, err := t.client.Drain(c.Context(), args[0])
			if err != nil {
				return err
			}
			return printer.Drained(c.OutOrStdout(), t.output, d)
		},
	}
}
