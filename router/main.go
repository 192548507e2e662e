// Router is heatherhold's daemon: one identical process on every entry
// instance. It serves callers, operators and the other instances.
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

// serve runs the daemon until it is told to stop.
func serve(s *loader.Settings) error {
	parts := fx.Options(components, fx.Invoke(run))
	if s.Store != nil {
		parts = siteComponents
	}
	app := fx.New(
		fx.Supply(s),
		parts,
		fx.StopTimeout(s.Stop.Notice.Std()+s.Stop.Finish.Std()+stopSlack),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Err(); err != nil {
		return err
	}
	return runApp(app)
}

// runApp runs the application until a signal or a part that fails ends it.
func runApp(app *fx.App) error {
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		return errors.Wrap(err, "start")
	}
	end := <-app.Wait()
	stop, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stop); err != nil {
		return errors.Wrap(err, "stop")
	}
	if end.ExitCode != 0 {
		return errors.New("a part failed; the log says which")
	}
	return nil
}
