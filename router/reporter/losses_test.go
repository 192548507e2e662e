package reporter_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/reporter"
)

// TestSizeOf guards against misjudged sizes at the bounds, for services without a usual size
// and for counts whose weighted sum exceeds an integer.
func TestSizeOf(t *testing.T) {
	engine := &cataloguer.Engine{
		UsualPrompt: 1000,
		UsualOutput: 100,
	}
	for _, c := range []struct {
		name           string
		prompt, output identifier.Tokens
		engine         *cataloguer.Engine
		want           reporter.Size
	}{
		{name: "plain service", prompt: 10, output: 10, want: reporter.SizeNone},
		{name: "no usual size", prompt: 10, output: 10, engine: &cataloguer.Engine{}, want: reporter.SizeNone},
		{name: "no tokens", engine: engine, want: reporter.SizeSmall},
		{name: "under half", prompt: 499, output: 50, engine: engine, want: reporter.SizeSmall},
		{name: "half", prompt: 500, output: 50, engine: engine, want: reporter.SizeUsual},
		{name: "twice", prompt: 2000, output: 200, engine: engine, want: reporter.SizeUsual},
		{name: "over twice", prompt: 2001, output: 200, engine: engine, want: reporter.SizeLarge},
		{name: "large by output alone", output: 401, engine: engine, want: reporter.SizeLarge},
		{name: "largest count", prompt: math.MaxInt64, output: math.MaxInt64, engine: engine, want: reporter.SizeLarge},
	} {
		if got := reporter.SizeOf(c.prompt, c.output, c.engine); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

// TestOutcomeOf guards against a request that may have run being reported as refused.
func TestOutcomeOf(t *testing.T) {
	for _, k := range classifier.Kinds() {
		want := reporter.Failed
		switch {
		case k == classifier.Cancelled:
			want = reporter.Cancelled
		case classifier.ResponseOf(k).Ran == classifier.RanNo:
			want = reporter.Refused
		}
		if got := reporter.OutcomeOf(k); got != want {
			t.Errorf("%s: got %s, want %s", k, got, want)
		}
	}
	if got, want := reporter.OutcomeOf("no-such-kind"), reporter.Failed; got != want {
		t.Errorf("unknown kind: got %s, want %s", got, want)
	}
}

// written returns the lines of the losses among the reporter's metrics.
func written(r *reporter.Reporter) []string {
	var text strings.Builder
	r.Write(&text)
	var out []string
	for line := range strings.Lines(text.String()) {
		if strings.HasPrefix(line, "heatherhold_losses_total") {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}

// TestCountEnd guards against requests that are no loss being counted, and against labels
// with the zero values of what is not known.
func TestCountEnd(t *testing.T) {
	r := reporter.New(nil)
	end := reporter.End{
		Service: "drafts",
		Order:   2,
		Route:   "chat",
		Size:    reporter.SizeLarge,
	}
	for _, o := range []reporter.Outcome{reporter.OnTime, reporter.Cancelled, reporter.LatePause, reporter.LatePause} {
		end.Outcome = o
		r.CountEnd(end)
	}
	r.CountEnd(reporter.End{
		Size:    reporter.SizeNone,
		Outcome: reporter.Refused,
	})
	want := []string{
		`heatherhold_losses_total{service="drafts",order="2",route="chat",size="large",outcome="late-pause"} 2`,
		`heatherhold_losses_total{service="none",order="none",route="none",size="none",outcome="refused"} 1`,
	}
	if got := written(r); strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// TestCountEndManyRoutes guards against time series without limit where a configuration has
// many routes.
func TestCountEndManyRoutes(t *testing.T) {
	const routes, named = 200, 64
	r := reporter.New(nil)
	for range 2 {
		for i := range routes {
			r.CountEnd(reporter.End{
				Route:   fmt.Sprintf("r%d", i),
				Size:    reporter.SizeNone,
				Outcome: reporter.Refused,
			})
		}
	}
	lines := written(r)
	if got, want := len(lines), named+1; got != want {
		t.Errorf("got %d time series, want %d", got, want)
	}
	want := fmt.Sprintf(`route="other",size="none",outcome="refused"} %d`, 2*(routes-named))
	if !strings.Contains(strings.Join(lines, "\n"), want) {
		t.Errorf("got\n%s\nwant %s among them", strings.Join(lines, "\n"), want)
	}
}

// FuzzCountEnd guards against a panic of the metrics library, which accepts only valid names,
// for any name of a route or service.
func FuzzCountEnd(f *testing.F) {
	f.Add("drafts", "chat")
	f.Add("a\"b\\", "c\n{}=\xff")
	f.Fuzz(func(t *testing.T, service, route string) {
		r := reporter.New(nil)
		r.CountEnd(reporter.End{
			Service: identifier.Service(service),
			Route:   route,
			Size:    reporter.SizeNone,
			Outcome: reporter.Failed,
		})
		if got, want := len(written(r)), 1; got != want {
			t.Errorf("got %d lines, want %d", got, want)
		}
	})
}
