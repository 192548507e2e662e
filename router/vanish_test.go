package main_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/standin/generator"
)

// TestVanishedCaller has a caller that goes away while its engine is silent: its
// work is not taken up at another engine, and its ticket is given back.
func TestVanishedCaller(t *testing.T) {
	s := newSystem(t, 1, "a:0-12", "b:0-12", "c:0-12")
	s.allEngineFaults(generator.Faults{SilentAt: 1})
	r := s.routers["r1"]
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		streamDraft(ctx, r.caller, councilKey, "plate", 8)
		return nil
	})
	started := func() int { return s.started(t, "a") + s.started(t, "b") + s.started(t, "c") }
	eventually(t, "the stream starts", func() error {
		if started() == 0 {
			return errors.New("no engine has started it")
		}
		return nil
	})
	cancel()
	_ = group.Wait()
	eventually(t, "the ticket is given back", func() error {
		status, err := s.status("r1")
		if err != nil {
			return err
		}
		for _, p := range status.Pools {
			if p.Running+p.Waiting > 0 {
				return fmt.Errorf("got pool %+v, want it empty", p)
			}
		}
		return nil
	})
	// Longer than the progress deadline, after which a stream would go on elsewhere.
	time.Sleep(2 * time.Second)
	if got := started(); got != 1 {
		t.Errorf("got %d streams started, want 1", got)
	}
}

// TestSlowHeader opens a connection that never sends its header; it is closed.
func TestSlowHeader(t *testing.T) {
	s := newSystem(t, 1, "a:0-12")
	c, err := net.Dial("tcp", s.routers["r1"].caller)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("POST /v1/completions HTTP/1.1\r\n")); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	_, err = c.Read(make([]byte, 1))
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		t.Error("the connection is still open, want it closed")
	}
}
