package dialer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/dialer"
)

// serveTrickle accepts connections until the test ends and sends a byte now and then on
// each, which never make a whole message.
func serveTrickle(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error { return trickle(ctx, c) })
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// trickle sends the bytes of a frame that announces far more than it sends.
func trickle(ctx context.Context, c net.Conn) error {
	defer func() { _ = c.Close() }()
	frame := []byte{0x04, 0x01, 0x01, 0xff, 0x7f}
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		b := byte(0)
		if i < len(frame) {
			b = frame[i]
		}
		if _, err := c.Write([]byte{b}); err != nil {
			return nil
		}
	}
}

// TestTricklingPeerHoldsCall guards against a call to a peer that lasts as long as the
// peer sends a byte now and then.
func TestTricklingPeerHoldsCall(t *testing.T) {
	const limit = 200 * time.Millisecond
	address := serveTrickle(t)
	d := &dialer.Dialer{}
	for name, call := range map[string]func(context.Context) error{
		"read": func(ctx context.Context) error {
			_, err := d.Read(ctx, address, &messenger.ReadRequest{Table: "endpoints"})
			return err
		},
		"exchange": func(ctx context.Context) error {
			_, err := d.Exchange(ctx, address, &messenger.ExchangeRequest{Sender: &messenger.Member{Instance: "r1"}})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			start := time.Now()
			if err := call(ctx); err == nil {
				t.Error("got a reply, want an error")
			}
			if got, want := time.Since(start), 10*limit; got > want {
				t.Errorf("call lasted %v, want %v at most", got, want)
			}
		})
	}
}
