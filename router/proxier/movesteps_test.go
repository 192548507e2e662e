package proxier_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/cataloguer"
)

// lockedBuffer is a buffer for a log that is written and read at the same time.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// movedLine returns the fields of the log line of a moved stream; nil if there is none yet.
func (b *lockedBuffer) movedLine(t *testing.T) map[string]any {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.buf.String()) {
		fields := make(map[string]any)
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("log line %q: %v", line, err)
		}
		if fields["msg"] == "stream moved to another chain" {
			return fields
		}
	}
	return nil
}

// TestStepsOfMoveUnknown guards against a pause of a moved stream of which neither the log nor the
// metrics say which step took how long.
func TestStepsOfMoveUnknown(t *testing.T) {
	const reading = 80 * time.Millisecond
	f := newFixture(cataloguer.AtMostOnce, true)
	f.route.Gap = 400 * time.Millisecond
	out := &lockedBuffer{}
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{})
	f.proxier.Log = log
	orders := newMovingOrders(f)
	moved := orders.onMove("r")
	read := make(chan struct{})
	orders.addDeadStage(t, f, read)
	f.watch(t)
	var group errgroup.Group
	group.Go(func() error {
		<-moved
		time.Sleep(reading)
		close(read)
		return nil
	})
	w, err := f.serveAs("r", &f.route, 5*time.Second)
	requireEvents(t, ids(w.Body.String()), err, "1 2 3")
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	var line map[string]any
	for start := time.Now(); line == nil && time.Since(start) < 2*time.Second; {
		line = out.movedLine(t)
		time.Sleep(5 * time.Millisecond)
	}
	for name, least := range map[string]time.Duration{
		"notice-ms":   time.Duration(0.30 * float64(f.route.Gap)),
		"question-ms": 0,
		"turn-ms":     0,
		"ticket-ms":   0,
		"order-ms":    0,
		"reading-ms":  reading - 5*time.Millisecond,
	} {
		got, ok := line[name].(float64)
		if !ok || got < float64(least.Milliseconds()) {
			t.Errorf("%s in the log line: got %v, want at least %v", name, line[name], least)
		}
	}
	if got, want := line["avoided"], "dead"; got != want {
		t.Errorf("avoided: got %v, want %s", got, want)
	}
	var metrics strings.Builder
	f.proxier.Reporter.Write(&metrics)
	for _, step := range []string{"notice", "question", "ticket", "order", "reading"} {
		if want := fmt.Sprintf(`heatherhold_move_seconds_count{service="s",step=%q} 1`, step); !strings.Contains(metrics.String(), want) {
			t.Errorf("the metrics have no %s", want)
		}
	}
}
