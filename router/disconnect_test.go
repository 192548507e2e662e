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

// TestCallerDisconnects has a caller disconnect while its engine does not respond.
// The stream must not be moved to another engine, and its ticket must be released.
func TestCallerDisconnects(t *testing.T) {
	s := newSystem(t, 1, "a:0-12", "b:0-12", "c:0-12")
	s.setAllEngineFaults(generator.Faults{SilentAt: 1})
	r := s.routers["r1"]
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		streamDraft(ctx, r.caller, councilKey, "plate", 8)
		return nil
	})
	started := func() int { return s.startedStreams(t, "a") + s.startedStreams(t, "b") + s.startedStreams(t, "c") }
	eventually(t, "the stream starts", func() error {
		if started() == 0 {
			return errors.New("no engine has started the stream")
		}
		return nil
	})
	cancel()
	_ = group.Wait()
	eventually(t, "the ticket is released", func() error {
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
	// This is longer than the progress timeout, after which a stream would be moved to
	// another engine.
	time.Sleep(2 * time.Second)
	if got := started(); got != 1 {
		t.Errorf("got %d streams started, want 1", got)
	}
}

// TestSlowHeader opens a connection and never completes the request header. The
// router must close the connection.
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
	if err := c.SetReadDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	_, err = c.Read(make([]byte, 1))
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		t.Error("the connection is still open, want it closed")
	}
}
