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

// sink records what is written; writes block while a test holds blocked.
type sink struct {
	blocked sync.Mutex
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *sink) Write(p []byte) (int, error) {
	s.blocked.Lock()
	defer s.blocked.Unlock()
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

// TestBlockedOutput requires that logging does not block while writes to the output
// block, that dropped lines are counted, and that no warnings are lost.
func TestBlockedOutput(t *testing.T) {
	s := &sink{}
	log, w := newLog(s)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return w.Run(ctx) })
	s.blocked.Lock()
	started := time.Now()
	const infos, warnings = 5000, 1000
	for i := range infos {
		log.Info("usual")
		if i%(infos/warnings) == 0 {
			log.Warn("failure")
		}
	}
	if got, want := time.Since(started), 2*time.Second; got > want {
		t.Errorf("logging took %v while the output was blocked, want under %v", got, want)
	}
	if w.Dropped() == 0 {
		t.Error("got no dropped lines, want some")
	}
	s.blocked.Unlock()
	deadline := time.Now().Add(5 * time.Second)
	for !strings.Contains(s.text(), "log lines dropped") && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	group.Wait()
	if got := strings.Count(s.text(), `"failure"`); got != warnings {
		t.Errorf("got %d warnings, want %d", got, warnings)
	}
	if !strings.Contains(s.text(), "log lines dropped") {
		t.Error("got no line that reports dropped lines")
	}
}

// TestFlush requires that Run writes the lines that were logged before its context
// ended.
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
