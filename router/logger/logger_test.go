package logger_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/router/logger"
)

// sink keeps what is written; while it is held, writes wait.
type sink struct {
	hold sync.Mutex
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *sink) Write(p []byte) (int, error) {
	s.hold.Lock()
	defer s.hold.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *sink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

func newLog(out io.Writer) (*logrus.Logger, *logger.Writer) {
	w := logger.New(out, &logrus.JSONFormatter{})
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(w)
	return log, w
}

// TestReaderStops requires that logging goes on at once while nobody reads, that
// what is dropped is counted, and that the lines of failures are kept.
func TestReaderStops(t *testing.T) {
	s := &sink{}
	log, w := newLog(s)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return w.Run(ctx) })
	s.hold.Lock()
	begun := time.Now()
	const usual, failures = 5000, 1000
	for i := range usual {
		log.Info("usual")
		if i%(usual/failures) == 0 {
			log.Warn("failure")
		}
	}
	if got, want := time.Since(begun), 2*time.Second; got > want {
		t.Errorf("logging took %v while nobody read, want under %v", got, want)
	}
	if w.Dropped() == 0 {
		t.Error("got no line dropped, want some")
	}
	s.hold.Unlock()
	deadline := time.Now().Add(5 * time.Second)
	for !strings.Contains(s.text(), "log lines dropped") && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	group.Wait()
	if got := strings.Count(s.text(), `"failure"`); got != failures {
		t.Errorf("got %d lines of failures, want %d", got, failures)
	}
	if !strings.Contains(s.text(), "log lines dropped") {
		t.Error("got no line that tells of dropped lines")
	}
}

// TestFlush requires that what was logged before the end is written.
func TestFlush(t *testing.T) {
	s := &sink{}
	log, w := newLog(s)
	log.Info("last")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := w.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if got := s.text(); !strings.Contains(got, "last") {
		t.Errorf("got %q, want the last line", got)
	}
}
