package proxier_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/router/proxier"
)

// slowStream returns a serve function that writes two events, the first after start and the
// second after pause.
func slowStream(start, pause time.Duration) func(int, io.Writer) {
	return func(_ int, w io.Writer) {
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		time.Sleep(start)
		writeChunk(w, "id: 1\ndata: 1\n\n")
		time.Sleep(pause)
		writeChunk(w, "id: 2\ndata: 2\n\n")
		fmt.Fprint(w, "0\r\n\r\n")
	}
}

// slowReply returns a serve function that writes a complete response after delay.
func slowReply(delay time.Duration) func(int, io.Writer) {
	return func(after int, w io.Writer) {
		time.Sleep(delay)
		reply(200, "", "x")(after, w)
	}
}

// logLines parses JSON log lines.
func logLines(t *testing.T, text string) []map[string]any {
	t.Helper()
	var out []map[string]any
	for line := range strings.Lines(text) {
		fields := make(map[string]any)
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatal(err)
		}
		out = append(out, fields)
	}
	return out
}

// TestLoggedOutcome requires that the last line of each request that was served says to
// which callers it belongs and how it ended, and that only losses are counted. It guards
// against a failure that is passed on being reported as served.
func TestLoggedOutcome(t *testing.T) {
	const late = 400 * time.Millisecond
	stream, order := cataloguer.Resumable, cataloguer.AtMostOnce
	for _, c := range []struct {
		name       string
		repetition cataloguer.Repetition
		serve      func(int, io.Writer)
		untargeted bool
		outcome    string
		size       string
	}{
		{name: "stream on time", repetition: stream, serve: streamEvents(2, true), outcome: "on-time", size: "large"},
		{name: "stream late at its start", repetition: stream, serve: slowStream(late, 0), outcome: "late-start", size: "large"},
		{name: "stream late by a pause", repetition: stream, serve: slowStream(0, late), outcome: "late-pause", size: "large"},
		{name: "stream without targets", repetition: stream, serve: slowStream(late, 0), untargeted: true, outcome: "on-time", size: "large"},
		{name: "answer on time", repetition: order, serve: reply(200, "", "x"), outcome: "on-time", size: "none"},
		{name: "late answer", repetition: order, serve: slowReply(late), outcome: "late-start", size: "none"},
		{name: "failure passed on", repetition: order, serve: reply(500, "", "x"), outcome: "failed", size: "none"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(c.repetition, c.repetition == stream, newEndpoint(t, "e1", c.serve))
			var logged bytes.Buffer
			log := logrus.New()
			log.SetOutput(&logged)
			log.SetFormatter(&logrus.JSONFormatter{})
			f.proxier.Log = log
			if c.untargeted {
				f.route.Target, f.route.Gap = 0, 0
			}
			f.proxyJob(t, func(j *proxier.Job) {
				j.Customer = "council"
				j.Order = 2
				j.Request.Received = time.Now()
				j.Request.Prompt = 1000
			})
			lines := logLines(t, logged.String())
			last := lines[len(lines)-1]
			want := map[string]any{
				"customer": "council",
				"route":    "r",
				"service":  "s",
				"order":    2.0,
				"size":     c.size,
				"outcome":  c.outcome,
			}
			for name, value := range want {
				if last[name] != value {
					t.Errorf("%s: got %v, want %v", name, last[name], value)
				}
			}
			checkCounted(t, f, c.outcome, c.size)
		})
	}
}

// proxyJob serves one request, whose job change prepares.
func (f *fixture) proxyJob(t *testing.T, change func(*proxier.Job)) {
	t.Helper()
	if f.engine != nil {
		f.engine.UsualPrompt = 100
	}
	j := f.job(5 * time.Second)
	change(&j)
	if _, err := f.proxier.Serve(context.Background(), httptest.NewRecorder(), j); err != nil {
		t.Fatal(err)
	}
}

// checkCounted requires that the request was counted with its outcome if that is a loss.
func checkCounted(t *testing.T, f *fixture, outcome, size string) {
	t.Helper()
	var text strings.Builder
	f.proxier.Reporter.Write(&text)
	counter := fmt.Sprintf(`heatherhold_losses_total{service="s",order="2",route="r",size=%q,outcome=%q} 1`, size, outcome)
	if got, want := strings.Contains(text.String(), counter), outcome != "on-time"; got != want {
		t.Errorf("counted as a loss: got %t, want %t", got, want)
	}
}
