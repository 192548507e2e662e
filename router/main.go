// Router is the heatherhold daemon. Every instance runs this program, which serves
// callers, operators and the other instances.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"heatherhold.dev/router/loader"
)

func main() {
	path := ""
	root := &cobra.Command{
		Use:           "router",
		Short:         "heatherhold's daemon: routes requests to model pipelines and plain services",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			s, err := loader.Load(path)
			if err != nil {
				return err
			}
			return serve(s)
		},
	}
	root.Flags().StringVar(&path, "settings", os.Getenv("HEATHERHOLD_NODE_FILE"), "settings file (TOML); without one the embedded defaults are used")
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "router:", err)
		os.Exit(1)
	}
}

// serve runs the daemon until a signal or a failed component stops it.
func serve(s *loader.Settings) error {
	options := fx.Options(components, fx.Invoke(registerDaemon))
	if s.Store != nil {
		options = storeComponents
	}
	app := fx.New(
		fx.Supply(s),
		options,
		fx.StopTimeout(s.Stop.Notice.Std()+s.Stop.Finish.Std()+stopSlack),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Err(); err != nil {
		return err
	}
	return runApp(app)
}

// runApp runs the application until a signal or a failed component stops it.
func runApp(app *fx.App) error {
	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return errors.Wrap(err, "start components")
	}
	shutdown := <-app.Wait()
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		return errors.Wrap(err, "stop components")
	}
	if shutdown.ExitCode != 0 {
		return errors.New("a component failed; see the log")
	}
	return nil
}
