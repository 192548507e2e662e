// Standin runs small stand-ins of the systems around heatherhold: the
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

// site is where a stand-in listens and how it is listed.
type site struct {
	listen   string
	platform string
	listed   messenger.Listed
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Small stand-ins of the systems around heatherhold",
		SilenceUsage: true,
	}
	root.AddCommand(platformCommand(), engineCommand(), serviceCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func platformCommand() *cobra.Command {
	var s site
	var t tabler.Tabler
	c := &cobra.Command{
		Use:   "platform",
		Short: "Table service, object store and instance list",
		RunE: func(c *cobra.Command, _ []string) error {
			return s.serve(c.Context(), t.Handler())
		},
	}
	c.Flags().StringVar(&s.listen, "listen", "127.0.0.1:7100", "address to listen on")
	c.Flags().DurationVar(&t.Lag, "lag", 0, "how far the instance list is behind")
	c.Flags().DurationVar(&t.Expiry, "expiry", 0, "how long an instance stays listed without being announced; 0 means for ever")
	return c
}

func engineCommand() *cobra.Command {
	var s site
	var e generator.Engine
	c := &cobra.Command{
		Use:   "engine",
		Short: "Model engine that holds a range of layers",
		RunE: func(c *cobra.Command, _ []string) error {
			e.State.Endpoint = s.listed.Name
			e.State.Incarnation = s.life()
			return s.serve(c.Context(), e.Handler())
		},
	}
	s.flags(c)
	f := c.Flags()
	f.Int32Var(&e.State.From, "from", 0, "first layer")
	f.Int32Var(&e.State.To, "to", 12, "layer after the last")
	f.StringVar(&e.State.Version, "version", "v1", "version of the weights")
	f.StringVar(&e.State.Accelerator, "accelerator", "a", "kind of accelerator")
	f.IntVar(&e.State.Slots, "slots", 16, "streams batched at the target speed")
	f.Int64Var(&e.State.TokenMicros, "token-micros", 2000, "time of one token, in microseconds")
	f.Int64Var(&e.State.PrefillMicros, "prefill-micros", 50, "time of one prompt token, in microseconds")
	f.BoolVar(&e.ChecksFence, "checks-fence", true, "refuse orders with an old fencing number")
	return c
}

func serviceCommand() *cobra.Command {
	var s site
	var o recorder.Recorder
	c := &cobra.Command{
		Use:   "service",
		Short: "Plain service that confirms orders",
		RunE: func(c *cobra.Command, _ []string) error {
			s.life()
			return s.serve(c.Context(), o.Handler())
		},
	}
	s.flags(c)
	c.Flags().DurationVar(&o.Delay, "delay", 0, "how long one confirmation takes")
	return c
}

func (s *site) flags(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&s.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&s.platform, "platform", "http://127.0.0.1:7100", "the platform's URL")
	f.StringVar(&s.listed.Name, "name", "e1", "name in the instance list")
	f.StringVar(&s.listed.Role, "service", "drafts", "service that is served")
	f.StringVar(&s.listed.DataCentre, "data-centre", "gijon", "data centre")
	f.Uint64Var(&s.listed.Incarnation, "incarnation", 0, "incarnation; 0 takes the start time")
}

// life returns the incarnation, which grows with each start.
func (s *site) life() uint64 {
	if s.listed.Incarnation == 0 {
		s.listed.Incarnation = uint64(time.Now().UnixMilli())
	}
	return s.listed.Incarnation
}

// serve serves h until ctx ends and keeps the stand-in in the instance list.
func (s *site) serve(ctx context.Context, h http.Handler) error {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", s.listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.listed.Address = l.Addr().String()
	logrus.WithField("address", s.listed.Address).Info("serving")
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

func (s *site) announce(ctx context.Context) error {
	if s.platform == "" {
		return nil
	}
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		if err := s.put(ctx); err != nil {
			logrus.WithError(err).Debug("not announced")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (s *site) put(ctx context.Context) error {
	body, err := json.Marshal(s.listed)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	url := s.platform + "/v1/instances/" + s.listed.Name
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "put")
	}
	return res.Body.Close()
}
