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

// responseTiming holds the time until the first line of a response and the gaps
// between its lines.
type responseTiming struct {
	first time.Duration
	gaps  []time.Duration
}

// readTiming reads a response and times its non-empty lines.
func readTiming(b *testing.B, start time.Time, res *http.Response, err error) responseTiming {
	b.Helper()
	if err != nil || res.StatusCode != http.StatusOK {
		b.Fatalf("got response %v, error %v; want status 200", res, err)
	}
	defer res.Body.Close()
	var t responseTiming
	last := start
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		if len(lines.Bytes()) == 0 {
			continue
		}
		now := time.Now()
		if t.first == 0 {
			t.first = now.Sub(start)
		} else {
			t.gaps = append(t.gaps, now.Sub(last))
		}
		last = now
	}
	return t
}

func reportPercentiles(b *testing.B, name string, d []time.Duration) {
	b.Helper()
	slices.Sort(d)
	b.ReportMetric(float64(d[len(d)/2].Microseconds()), name+"-p50-us")
	b.ReportMetric(float64(d[len(d)*99/100].Microseconds()), name+"-p99-us")
}

// BenchmarkRouterOverhead compares the latency of drafts that are requested from an
// engine directly with that of drafts requested through a router. It alternates
// between the two.
func BenchmarkRouterOverhead(b *testing.B) {
	s := newSystem(b, 1, "e:0-12")
	var directFirst, routedFirst, directGaps, routedGaps []time.Duration
	n := 0
	for b.Loop() {
		n++
		prompt := fmt.Sprintf("plate %d", n)
		start := time.Now()
		res, err := streamFromEngine(s, prompt)
		t := readTiming(b, start, res, err)
		directFirst, directGaps = append(directFirst, t.first), append(directGaps, t.gaps...)
		body := fmt.Appendf(nil, `{"model":"drafts","prompt":%q,"stream":true,"max_tokens":20}`, prompt)
		start = time.Now()
		res, err = post(b.Context(), s.routers["r1"].caller, councilKey, "/v1/completions", body, nil)
		t = readTiming(b, start, res, err)
		routedFirst, routedGaps = append(routedFirst, t.first), append(routedGaps, t.gaps...)
	}
	reportPercentiles(b, "direct-first", directFirst)
	reportPercentiles(b, "routed-first", routedFirst)
	reportPercentiles(b, "direct-gap", directGaps)
	reportPercentiles(b, "routed-gap", routedGaps)
}

func streamFromEngine(s *system, prompt string) (*http.Response, error) {
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

// readMetric returns the value of one of the router's metrics.
func readMetric(b *testing.B, r *router, name string) float64 {
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

// BenchmarkTokens streams many drafts at once. It reports how many tokens the router
// handles per second of processor time, its allocations for each token, and its
// memory before and after.
func BenchmarkTokens(b *testing.B) {
	const streams, limit = 32, 100
	s := newSystem(b, 1, "e:0-12", "f:0-12", "g:0-12")
	r := s.routers["r1"]
	idleMemory := readMetric(b, r, "process_resident_memory_bytes")
	cpuBefore, tokens := readMetric(b, r, "process_cpu_seconds_total"), 0.0
	allocsBefore := readMetric(b, r, "go_memstats_mallocs_total")
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
	cpuUsed := readMetric(b, r, "process_cpu_seconds_total") - cpuBefore
	b.ReportMetric(tokens/cpuUsed, "tokens/core-s")
	b.ReportMetric((readMetric(b, r, "go_memstats_mallocs_total")-allocsBefore)/tokens, "allocs/token")
	b.ReportMetric(idleMemory/(1<<20), "idle-MB")
	b.ReportMetric(readMetric(b, r, "process_resident_memory_bytes")/(1<<20), "loaded-MB")
}
