package explainer_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"heatherhold.dev/operator/explainer"
)

// firstLog and secondLog are the logs of two instances; their times overlap.
const firstLog = `
{"chain":"e1:0-4 e2:4-8","customer":"c","error":"e2 does not answer","instance":"r1","level":"warning","msg":"attempt failed","request":"q1","time":"2026-05-01T10:00:02.000200Z"}
no log line
{"endpoint":"e2","instance":"r1","level":"warning","msg":"endpoint given up for its streams","time":"2026-05-01T10:00:02.000100Z"}
{"endpoint":"e9","instance":"r1","level":"info","msg":"endpoint is new","time":"2026-05-01T10:00:02.000100Z"}
{"chain":"e9:0-8","instance":"r1","level":"info","msg":"request served","request":"q2","time":"2026-05-01T10:00:02.000300Z"}
`

const secondLog = `collector r2 | {"held-ms":900,"instance":"r2","kind":"overloaded","level":"warning","msg":"request not served","request":"q1","status":429,"time":"2026-05-01T10:00:03.5Z"}
{"instance":"r2","level":"warning","msg":"platform store lost; going on with what is known","time":"2026-05-01T10:00:02.9Z"}
{"instance":"r2","level":"warning","msg":"platform store lost; going on with what is known","time":"2026-05-01T09:59:00Z"}
`

// TestExplain requires that a report has the request's lines from two instances
// in order of time, and of the other lines only those related to the request.
func TestExplain(t *testing.T) {
	report, err := explainer.Explain("q1", strings.NewReader(firstLog), strings.NewReader(secondLog))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range report.Lines {
		got = append(got, fmt.Sprintf("%s %s %t", l.Instance, l.Event, l.Related))
	}
	want := []string{
		"r1 endpoint given up for its streams true",
		"r1 attempt failed false",
		"r2 platform store lost; going on with what is known true",
		"r2 request not served false",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if got, want := report.Outcome, "request not served"; got != want {
		t.Errorf("got outcome %q, want %q", got, want)
	}
	// One is the line "no log line", the other the empty line at the start of firstLog.
	if got, want := report.Skipped, 2; got != want {
		t.Errorf("got %d lines skipped, want %d", got, want)
	}
}

// TestExplainNotFound requires ErrNotFound for a request that no line names.
func TestExplainNotFound(t *testing.T) {
	_, err := explainer.Explain("q7", strings.NewReader(firstLog))
	if !errors.Is(err, explainer.ErrNotFound) {
		t.Errorf("got error %v, want %v", err, explainer.ErrNotFound)
	}
}

// FuzzExplain feeds arbitrary input to Explain: it must not panic, and a report
// without an error must have lines.
func FuzzExplain(f *testing.F) {
	f.Add(firstLog + secondLog)
	f.Add(`{"time":3,"msg":"x"}`)
	f.Fuzz(func(t *testing.T, text string) {
		report, err := explainer.Explain("q1", strings.NewReader(text))
		if err == nil && len(report.Lines) == 0 {
			t.Error("got a report without lines and no error")
		}
	})
}
