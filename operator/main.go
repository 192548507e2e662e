// Operator is the operators' command-line tool: it checks declarations, shows what
// they would change, applies them and waits until they are in force everywhere.
// It sends its requests to any router.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"heatherhold.dev/operator/requester"
)

// Exit codes.
const (
	exitFailed      = 1
	exitInvalid     = 2
	exitConflict    = 3
	exitPending     = 4
	exitDifferences = 5
)

const rootHelp = `Operator configures heatherhold from declarations: one base file, and for each
site an overlay that holds only what differs there.

A change is committed on a base revision. If another operator has committed a
change since then, the output is a conflict that shows both sides, and no change
is lost.

Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict, 4 committed but not
yet in force everywhere, 5 there are differences (diff).

The operator's key is read from the environment variable HEATHERHOLD_KEY.`

// exitError is an error that determines the exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the cause's text.
func (e *exitError) Error() string {
	return e.err.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error {
	return e.err
}

// tool holds what all commands share.
type tool struct {
	client requester.Client
	output string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := newRoot().ExecuteContext(ctx)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "operator:", err)
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	t := &tool{client: requester.Client{Key: os.Getenv("HEATHERHOLD_KEY")}}
	root := &cobra.Command{
		Use:           "operator",
		Short:         "Configures heatherhold from declarations",
		Long:          rootHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if t.output != "table" && t.output != "json" {
				return &exitError{
					code: exitInvalid,
					err:  errors.Errorf("--output: want \"table\" or \"json\", got %q", t.output),
				}
			}
			return nil
		},
	}
	root.PersistentFlags().StringVar(&t.client.URL, "router", "http://127.0.0.1:7002", "operator address of any router")
	root.PersistentFlags().StringVar(&t.output, "output", "table", "table or json")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &exitError{
			code: exitInvalid,
			err:  err,
		}
	})
	root.AddCommand(
		t.checkCommand(),
		t.diffCommand(),
		t.applyCommand(),
		t.getCommand(),
		t.statusCommand(),
		t.drainCommand(),
		t.quarantineCommand(),
		t.explainCommand(),
		t.lossesCommand(),
		hashCommand(),
	)
	return root
}
