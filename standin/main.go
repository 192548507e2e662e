// Standin runs simple test doubles of the systems around heatherhold: the
// platform, a model engine or a plain service. It is for tests and the quick
// start only.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/standin/faulter"
	"heatherhold.dev/standin/generator"
	"heatherhold.dev/standin/recorder"
	"heatherhold.dev/standin/tabler"
)

const (
	headerTimeout    = 5 * time.Second
	announceInterval = 500 * time.Millisecond
)

// standIn has the settings that all test doubles share: the address to listen on,
// the platform's URL, and the entry in the platform's instance list.
type standIn struct {
	listen   string
	platform string
	entry    messenger.ListedInstance
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Simple test doubles of the systems around heatherhold",
		SilenceUsage: true,
	}
	root.AddCommand(platformCommand(), engineCommand(), serviceCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func platformCommand() *cobra.Command {
	var s standIn
	var t tabler.Tabler
	c := &cobra.Command{
		Use:   "platform",
		Short: "Table service, object store and instance list",
		RunE: func(c *cobra.Command, _ []string) error {
			return s.serve(c.Context(), t.Handler())
		},
	}
	c.Flags().StringVar(&s.listen, "listen", "127.0.0.1:7100", "address to listen on")
	c.Flags().DurationVar(&t.Lag, "lag", 0, "age of the instance list that is returned")
	c.Flags().DurationVar(&t.Expiry, "expiry", 0, "how long an instance stays listed after its last announcement; 0 means no limit")
	return c
}

func engineCommand() *cobra.Command {
	var s standIn
	var e generator.Engine
	c := &cobra.Command{
		Use:   "engine",
		Short: "Model engine that holds a range of layers",
		RunE: func(c *cobra.Command, _ []string) error {
			e.State.Endpoint = s.entry.Name
			e.State.Incarnation = s.initIncarnation()
			return s.serve(c.Context(), e.Handler())
		},
	}
	s.addFlags(c)
	flags := c.Flags()
	flags.Int32Var(&e.State.From, "from", 0, "first layer")
	flags.Int32Var(&e.State.To, "to", 12, "end of the layer range (exclusive)")
	flags.StringVar(&e.State.Version, "version", "v1", "version of the weights")
	flags.StringVar(&e.State.Accelerator, "accelerator", "a", "kind of accelerator")
	flags.IntVar(&e.State.Slots, "slots", 16, "number of streams batched at the target speed")
	flags.Int64Var(&e.State.TokenMicros, "token-micros", 2000, "time to generate one token, in microseconds")
	flags.Int64Var(&e.State.PrefillMicros, "prefill-micros", 50, "time to process one prompt token, in microseconds")
	flags.BoolVar(&e.ChecksFence, "checks-fence", true, "refuse orders with an old fencing token")
	return c
}

func serviceCommand() *cobra.Command {
	var s standIn
	var r recorder.Recorder
	c := &cobra.Command{
		Use:   "service",
		Short: "Plain service that confirms orders",
		RunE: func(c *cobra.Command, _ []string) error {
			s.initIncarnation()
			return s.serve(c.Context(), r.Handler())
		},
	}
	s.addFlags(c)
	c.Flags().DurationVar(&r.Delay, "delay", 0, "how long the confirmation of an order takes")
	return c
}

func (s *standIn) addFlags(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&s.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&s.platform, "platform", "http://127.0.0.1:7100", "platform's URL; empty to stay out of the instance list")
	f.StringVar(&s.entry.Name, "name", "e1", "name in the instance list")
	f.StringVar(&s.entry.Role, "service", "drafts", "name of the service")
	f.StringVar(&s.entry.DataCentre, "data-centre", "gijon", "data centre")
	f.Uint64Var(&s.entry.Incarnation, "incarnation", 0, "incarnation; 0 takes the start time")
}

// initIncarnation sets the incarnation to the start time if the flag is 0, and
// returns it. The start time makes the incarnation increase with each start.
func (s *standIn) initIncarnation() uint64 {
	if s.entry.Incarnation == 0 {
		s.entry.Incarnation = uint64(time.Now().UnixMilli())
	}
	return s.entry.Incarnation
}

// serve serves h, with the faults that tests inject, until ctx ends. Meanwhile it
// announces the test double to the platform's instance list.
func (s *standIn) serve(ctx context.Context, h http.Handler) error {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", s.listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.entry.Address = l.Addr().String()
	logrus.WithField("address", s.entry.Address).Info("serving")
	server := &http.Server{
		Handler:           &faulter.Faulter{Handler: h},
		ReadHeaderTimeout: headerTimeout,
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return server.Serve(l) })
	g.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	g.Go(func() error { return s.announce(ctx) })
	if err := g.Wait(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// announce writes the entry to the instance list every announceInterval until ctx
// ends.
func (s *standIn) announce(ctx context.Context) error {
	if s.platform == "" {
		return nil
	}
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		if err := s.sendEntry(ctx); err != nil {
			logrus.WithError(err).Debug("not announced")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (s *standIn) sendEntry(ctx context.Context) error {
	body, err := json.Marshal(s.entry)
	if err != nil {
		return errors.Wrap(err, "encode instance entry")
	}
	url := s.platform + "/v1/instances/" + s.entry.Name
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "send instance entry")
	}
	return res.Body.Close()
}
