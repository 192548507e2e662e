// Package logger writes log lines without ever blocking the goroutines that log.
// One goroutine writes them from bounded queues. Lines that do not fit in a queue
// are dropped and counted. Warnings and errors are dropped last, because they report
// failed requests.
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
	// urgentLines and normalLines are the capacities of the queues for warnings and
	// errors, and for lines at level info and below.
	urgentLines = 4096
	normalLines = 1024
	// normalRate is the maximum number of lines at level info and below that are
	// queued per second, and normalBurst the maximum number at once.
	normalRate  = 200
	normalBurst = 400
	// flushTimeout is how long Run continues to write queued lines after its context
	// has ended.
	flushTimeout = 200 * time.Millisecond
	// reportInterval is how often the number of dropped lines is logged, if there
	// are any.
	reportInterval = time.Second
)

// Writer is a logrus hook that writes log entries to Out. Create it with New and
// call Run in one goroutine.
type Writer struct {
	// Out receives the lines; a write may block.
	Out io.Writer
	// Format formats an entry as a line.
	Format logrus.Formatter

	urgent  chan []byte
	normal  chan []byte
	limiter *rate.Limiter
	dropped atomic.Uint64
	failed  atomic.Uint64
}

// New returns a Writer that writes to out.
func New(out io.Writer, format logrus.Formatter) *Writer {
	return &Writer{
		Out:     out,
		Format:  format,
		urgent:  make(chan []byte, urgentLines),
		normal:  make(chan []byte, normalLines),
		limiter: rate.NewLimiter(normalRate, normalBurst),
	}
}

// Levels implements logrus.Hook; it returns all levels.
func (w *Writer) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire implements logrus.Hook. It queues an entry or drops it, and never blocks.
func (w *Writer) Fire(e *logrus.Entry) error {
	urgent := e.Level <= logrus.WarnLevel
	if !urgent && !w.limiter.Allow() {
		w.dropped.Add(1)
		return nil
	}
	line, err := w.Format.Format(e)
	if err != nil {
		return err
	}
	queue := w.normal
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

// Run writes queued lines until ctx ends, and then flushes the queues for at most
// flushTimeout.
func (w *Writer) Run(ctx context.Context) error {
	reported := uint64(0)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.flush(time.Now().Add(flushTimeout))
			return nil
		case line := <-w.urgent:
			w.write(line)
		case line := <-w.normal:
			w.write(line)
		case <-ticker.C:
			reported = w.reportDropped(reported)
		}
	}
}

// flush writes the queued lines, urgent ones first, until the queues are empty or
// the deadline has passed.
func (w *Writer) flush(deadline time.Time) {
	for time.Now().Before(deadline) {
		select {
		case line := <-w.urgent:
			w.write(line)
			continue
		default:
		}
		select {
		case line := <-w.normal:
			w.write(line)
		default:
			return
		}
	}
}

// reportDropped writes a line with the number of lines dropped since the last
// report, if any. reported is the total number that was reported before; the
// result is that total after this report.
func (w *Writer) reportDropped(reported uint64) uint64 {
	dropped := w.Dropped()
	if dropped == reported {
		return reported
	}
	line, err := w.Format.Format(&logrus.Entry{
		Logger:  logrus.StandardLogger(),
		Time:    time.Now(),
		Level:   logrus.WarnLevel,
		Message: "log lines dropped",
		Data:    logrus.Fields{"lines": dropped - reported},
	})
	if err != nil {
		return reported
	}
	w.write(line)
	return dropped
}

// write writes a line. A failed write can't be logged, so it is counted.
func (w *Writer) write(line []byte) {
	if _, err := w.Out.Write(line); err != nil {
		w.failed.Add(1)
	}
}

// Failed returns how many lines could not be written.
func (w *Writer) Failed() uint64 {
	return w.failed.Load()
}
