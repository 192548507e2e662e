// Package logger writes log lines without ever holding up those who log. Lines
// wait in bounded queues for one goroutine that writes them; what does not fit
// is dropped and counted, lines at level info and below before warnings and
// errors, which tell of failed requests.
package logger

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// urgentLines and usualLines bound the lines that wait to be written.
	urgentLines = 4096
	usualLines  = 1024
	// usualRate is how many lines at level info and below are written a second,
	// and usualBurst how many at once.
	usualRate  = 200
	usualBurst = 400
	// flushLimit is how long Run goes on writing after its end.
	flushLimit = 200 * time.Millisecond
	// tellInterval is how often a line says how many were dropped.
	tellInterval = time.Second
)

// Writer is a hook that takes log entries to Out. Make it with New, and have one
// goroutine in Run.
type Writer struct {
	// Out is where lines are written; a write may block.
	Out io.Writer
	// Format writes an entry as a line.
	Format logrus.Formatter

	urgent  chan []byte
	usual   chan []byte
	budget  *rate.Limiter
	dropped atomic.Uint64
	failed  atomic.Uint64
}

// New returns a writer to out.
func New(out io.Writer, format logrus.Formatter) *Writer {
	return &Writer{
		Out:    out,
		Format: format,
		urgent: make(chan []byte, urgentLines),
		usual:  make(chan []byte, usualLines),
		budget: rate.NewLimiter(usualRate, usualBurst),
	}
}

// Levels returns the levels of the entries that the hook takes: all.
func (w *Writer) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire queues an entry, or drops it. It never waits.
func (w *Writer) Fire(e *logrus.Entry) error {
	urgent := e.Level <= logrus.WarnLevel
	if !urgent && !w.budget.Allow() {
		w.dropped.Add(1)
		return nil
	}
	line, err := w.Format.Format(e)
	if err != nil {
		return err
	}
	queue := w.usual
	if urgent {
		queue = w.urgent
	}
	select {
	case queue <- line:
	default:
		w.dropped.Add(1)
	}
	return nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

// Run writes lines until ctx ends, and what waits then for a moment more.
func (w *Writer) Run(ctx context.Context) error {
	told := uint64(0)
	tell := time.NewTicker(tellInterval)
	defer tell.Stop()
	for {
		select {
		case <-ctx.Done():
			w.flush(time.Now().Add(flushLimit))
			return nil
		case line := <-w.urgent:
			w.write(line)
		case line := <-w.usual:
			w.write(line)
		case <-tell.C:
			told = w.tell(told)
		}
	}
}

// flush writes what waits, urgent lines first, until end.
func (w *Writer) flush(end time.Time) {
	for time.Now().Before(end) {
		select {
		case line := <-w.urgent:
			w.write(line)
			continue
		default:
		}
		select {
		case line := <-w.usual:
			w.write(line)
		default:
			return
		}
	}
}

// tell writes how many lines were dropped, if any were since told.
func (w *Writer) tell(told uint64) uint64 {
	dropped := w.Dropped()
	if dropped == told {
		return told
	}
	line, err := w.Format.Format(&logrus.Entry{
		Logger:  logrus.StandardLogger(),
		Time:    time.Now(),
		Level:   logrus.WarnLevel,
		Message: "log lines dropped",
		Data:    logrus.Fields{"lines": dropped - told},
	})
	if err != nil {
		return told
	}
	w.write(line)
	return dropped
}

// write writes a line. What Out does not take can be told nowhere; it is counted.
func (w *Writer) write(line []byte) {
	if _, err := w.Out.Write(line); err != nil {
		w.failed.Add(1)
	}
}

// Failed returns how many lines could not be written.
func (w *Writer) Failed() uint64 {
	return w.failed.Load()
}
