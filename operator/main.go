// Operator is the operators' command line: it checks declarations, shows what
// they would change, applies them and follows them until they are in force
// everywhere. It talks to any router.
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

const about = `Operator drives heatherhold from declarations: one base file, and an overlay
for each site that holds only what differs there.

A change is committed on a base revision. If another operator was faster, the
answer is a conflict that shows both sides, and nothing is lost.

Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict, 4 committed but not
yet in force everywhere, 5 there are differences (diff).

The operator's key is read from the environment variable HEATHERHOLD_KEY.`

// exit is an error with an exit code of its own.
type exit struct {
	code int
	err  error
}

// Error returns the cause's text.
func (e *exit) Error() string {
	return e.err.Error()
}

// Unwrap returns the cause.
func (e *exit) Unwrap() error {
	return e.err
}

// tool is what every command uses.
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
	os.Exit(codeOf(err))
}

func codeOf(err error) int {
	var e *exit
	if errors.As(err, &e) {
		return e.code
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	t := &tool{client: requester.Client{Key: os.Getenv("HEATHERHOLD_KEY")}}
	root := &cobra.Command{
		Use:           "operator",
		Short:         "Drives heatherhold from declarations",
		Long:          about,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if t.output != "table" && t.output != "json" {
				return &exit{
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
		return &exit{
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
		t.explainCommand(),
		hashCommand(),
	)
	return root
}
