package main_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/messenger"
)

// timing is when the pieces of one answer came.
type timing struct {
	first time.Duration
	gaps  []time.Duration
}

// readTimed times the lines of an answer that are not empty.
func readTimed(b *testing.B, begun time.Time, res *http.Response, err error) timing {
	b.Helper()
	if err != nil || res.StatusCode != http.StatusOK {
		b.Fatalf("got %v, %v; want an answer", res, err)
	}
	defer res.Body.Close()
	var t timing
	last := begun
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		if len(lines.Bytes()) == 0 {
			continue
		}
		now := time.Now()
		if t.first == 0 {
			t.first = now.Sub(begun)
		} else {
			t.gaps = append(t.gaps, now.Sub(last))
		}
		last = now
	}
	return t
}

func report(b *testing.B, name string, d []time.Duration) {
	b.Helper()
	slices.Sort(d)
	b.ReportMetric(float64(d[len(d)/2].Microseconds()), name+"-p50-us")
	b.ReportMetric(float64(d[len(d)*99/100].Microseconds()), name+"-p99-us")
}

// BenchmarkAdded drafts at an engine directly and through a router, by turns.
func BenchmarkAdded(b *testing.B) {
	s := newSystem(b, 1, "e:0-12")
	var first, routedFirst, gaps, routedGaps []time.Duration
	n := 0
	for b.Loop() {
		n++
		prompt := fmt.Sprintf("plate %d", n)
		begun := time.Now()
		res, err := direct(s, prompt)
		t := readTimed(b, begun, res, err)
		first, gaps = append(first, t.first), append(gaps, t.gaps...)
		body := fmt.Appendf(nil, `{"model":"drafts","prompt":%q,"stream":true,"max_tokens":20}`, prompt)
		begun = time.Now()
		res, err = post(b.Context(), s.routers["r1"].caller, councilKey, "/v1/completions", body, nil)
		t = readTimed(b, begun, res, err)
		routedFirst, routedGaps = append(routedFirst, t.first), append(routedGaps, t.gaps...)
	}
	report(b, "direct-first", first)
	report(b, "routed-first", routedFirst)
	report(b, "direct-gap", gaps)
	report(b, "routed-gap", routedGaps)
}

func direct(s *system, prompt string) (*http.Response, error) {
	state, err := http.Get("http://" + s.engines["e"].address + "/v1/state")
	if err != nil {
		return nil, err
	}
	defer state.Body.Close()
	var e messenger.EngineState
	if err := json.NewDecoder(state.Body).Decode(&e); err != nil {
		return nil, err
	}
	body, err := json.Marshal(messenger.EngineStream{
		Request:   prompt,
		Prompt:    prompt,
		MaxTokens: 20,
		Chain: []messenger.EngineStage{{
			Endpoint:    e.Endpoint,
			Address:     s.engines["e"].address,
			Incarnation: e.Incarnation,
			From:        e.From,
			To:          e.To,
			Version:     e.Version,
		}},
	})
	if err != nil {
		return nil, err
	}
	return post(s.t.Context(), s.engines["e"].address, "", "/v1/streams", body, nil)
}

// gauge reads one of the router's metrics.
func gauge(b *testing.B, r *router, name string) float64 {
	b.Helper()
	res, err := http.Get("http://" + r.caller + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer res.Body.Close()
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		var value float64
		if _, err := fmt.Sscanf(lines.Text(), name+" %g", &value); err == nil {
			return value
		}
	}
	b.Fatalf("got no metric %s", name)
	return 0
}

// BenchmarkTokens streams many drafts at once: the router's processor time for
// one token, its allocations and its memory before and after.
func BenchmarkTokens(b *testing.B) {
	const streams, limit = 32, 100
	s := newSystem(b, 1, "e:0-12", "f:0-12", "g:0-12")
	r := s.routers["r1"]
	idle := gauge(b, r, "process_resident_memory_bytes")
	begun, tokens := gauge(b, r, "process_cpu_seconds_total"), 0.0
	allocated := gauge(b, r, "go_memstats_mallocs_total")
	for b.Loop() {
		var group errgroup.Group
		counts := make([]float64, streams)
		for i := range streams {
			group.Go(func() error {
				d := streamDraft(b.Context(), r.caller, councilKey, fmt.Sprintf("plate %d", i), limit)
				counts[i] = float64(strings.Count(d.text, " "))
				return d.err
			})
		}
		if err := group.Wait(); err != nil {
			b.Fatal(err)
		}
		for _, n := range counts {
			tokens += n
		}
	}
	used := gauge(b, r, "process_cpu_seconds_total") - begun
	b.ReportMetric(tokens/used, "tokens/core-s")
	b.ReportMetric((gauge(b, r, "go_memstats_mallocs_total")-allocated)/tokens, "allocs/token")
	b.ReportMetric(idle/(1<<20), "idle-MB")
	b.ReportMetric(gauge(b, r, "process_resident_memory_bytes")/(1<<20), "loaded-MB")
}
