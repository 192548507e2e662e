package summarizer_test

import (
	"fmt"
	"strings"
	"testing"

	"heatherhold.dev/operator/summarizer"
)

// firstLog and secondLog are the logs of two instances. The request q2 failed at one chain
// before it was served, and q9 was logged by an older build, which states no outcome.
const firstLog = `
{"customer":"council","instance":"r1","level":"info","msg":"request served","order":0,"outcome":"on-time","request":"q1","route":"chat","size":"usual","time":"2026-05-01T10:00:02Z"}
{"customer":"council","instance":"r1","level":"warning","msg":"attempt failed","order":0,"request":"q2","route":"chat","size":"large","time":"2026-05-01T10:00:02.1Z"}
{"customer":"council","instance":"r1","level":"warning","msg":"request served late","order":0,"outcome":"late-pause","request":"q2","route":"chat","size":"large","time":"2026-05-01T10:00:02.2Z"}
{"customer":"hospice","instance":"r1","kind":"overloaded","level":"warning","msg":"request not served","order":2,"outcome":"refused","request":"q3","route":"drafts","size":"large","time":"2026-05-01T10:00:02.3Z"}
{"customer":"hospice","instance":"r1","level":"warning","msg":"attempt failed","order":2,"outcome":"failed","request":"q4","route":"orders","size":"none","time":"2026-05-01T10:00:02.4Z"}
{"instance":"r1","level":"warning","lines":7,"msg":"log lines dropped","time":"2026-05-01T10:00:02.5Z"}
not a log line
`

const secondLog = `r2 | {"customer":"hospice","instance":"r2","level":"warning","msg":"request served late","order":2,"outcome":"late-start","request":"q5","route":"drafts","size":"small","time":"2026-05-01T10:00:02Z"}
r2 | {"customer":"hospice","instance":"r2","kind":"no-chain","level":"warning","msg":"request not served","order":2,"outcome":"refused","request":"q6","route":"drafts","size":"large","time":"2026-05-01T10:00:03Z"}
r2 | {"customer":"hospice","instance":"r2","kind":"cancelled","level":"info","msg":"caller went away","order":2,"outcome":"cancelled","request":"q7","route":"drafts","size":"usual","time":"2026-05-01T10:00:03Z"}
r2 | {"customer":"","instance":"r2","kind":"not-found","level":"warning","msg":"request not served","order":-1,"outcome":"refused","request":"q8","route":"","size":"none","time":"2026-05-01T10:00:03Z"}
r2 | {"customer":"council","instance":"r2","level":"info","msg":"request served","order":0,"request":"q9","route":"chat","time":"2026-05-01T10:00:03Z"}
r2 | {"endpoint":"e1","instance":"r2","level":"info","msg":"endpoint is new","time":"2026-05-01T10:00:03Z"}
`

// format formats the counts in one line.
func format(name string, c summarizer.Counts) string {
	return fmt.Sprintf("%s: %d = %d on time, %d+%d late, refused %v, %d failed, %d cancelled", name, c.Requests, c.OnTime, c.LateStart, c.LatePause, c.Refused, c.Failed, c.Cancelled)
}

// TestSummarize guards against attempts that are counted as requests, groups in the wrong order,
// and lines that are left out without being reported.
func TestSummarize(t *testing.T) {
	for _, c := range []struct {
		by   summarizer.Key
		want []string
	}{
		{by: summarizer.ByCustomer, want: []string{
			"hospice: 5 = 0 on time, 1+0 late, refused map[no-chain:1 overloaded:1], 1 failed, 1 cancelled",
			"council: 2 = 1 on time, 0+1 late, refused map[], 0 failed, 0 cancelled",
			"none: 1 = 0 on time, 0+0 late, refused map[not-found:1], 0 failed, 0 cancelled",
		}},
		{by: summarizer.ByRoute, want: []string{
			"drafts: 4 = 0 on time, 1+0 late, refused map[no-chain:1 overloaded:1], 0 failed, 1 cancelled",
			"chat: 2 = 1 on time, 0+1 late, refused map[], 0 failed, 0 cancelled",
			"none: 1 = 0 on time, 0+0 late, refused map[not-found:1], 0 failed, 0 cancelled",
			"orders: 1 = 0 on time, 0+0 late, refused map[], 1 failed, 0 cancelled",
		}},
		{by: summarizer.ByOrder, want: []string{
			"2: 5 = 0 on time, 1+0 late, refused map[no-chain:1 overloaded:1], 1 failed, 1 cancelled",
			"0: 2 = 1 on time, 0+1 late, refused map[], 0 failed, 0 cancelled",
			"none: 1 = 0 on time, 0+0 late, refused map[not-found:1], 0 failed, 0 cancelled",
		}},
		{by: summarizer.BySize, want: []string{
			"large: 3 = 0 on time, 0+1 late, refused map[no-chain:1 overloaded:1], 0 failed, 0 cancelled",
			"none: 2 = 0 on time, 0+0 late, refused map[not-found:1], 1 failed, 0 cancelled",
			"small: 1 = 0 on time, 1+0 late, refused map[], 0 failed, 0 cancelled",
			"usual: 2 = 1 on time, 0+0 late, refused map[], 0 failed, 1 cancelled",
		}},
		{by: summarizer.ByKind, want: []string{
			"failed: 1 = 0 on time, 0+0 late, refused map[], 1 failed, 0 cancelled",
			"late-pause: 1 = 0 on time, 0+1 late, refused map[], 0 failed, 0 cancelled",
			"late-start: 1 = 0 on time, 1+0 late, refused map[], 0 failed, 0 cancelled",
			"no-chain: 1 = 0 on time, 0+0 late, refused map[no-chain:1], 0 failed, 0 cancelled",
			"not-found: 1 = 0 on time, 0+0 late, refused map[not-found:1], 0 failed, 0 cancelled",
			"overloaded: 1 = 0 on time, 0+0 late, refused map[overloaded:1], 0 failed, 0 cancelled",
			"cancelled: 1 = 0 on time, 0+0 late, refused map[], 0 failed, 1 cancelled",
			"on-time: 1 = 1 on time, 0+0 late, refused map[], 0 failed, 0 cancelled",
		}},
	} {
		// The groups must not depend on the order of the logs.
		for _, logs := range [][2]string{{firstLog, secondLog}, {secondLog, firstLog}} {
			s, err := summarizer.Summarize(c.by, strings.NewReader(logs[0]), strings.NewReader(logs[1]))
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, g := range s.Groups {
				got = append(got, format(g.Name, g.Counts))
			}
			if strings.Join(got, "\n") != strings.Join(c.want, "\n") {
				t.Errorf("by %s: got\n%s\nwant\n%s", c.by, strings.Join(got, "\n"), strings.Join(c.want, "\n"))
			}
			got = []string{
				format("total", s.Total),
				fmt.Sprintf("%d losses, %d skipped, %d dropped, %d unstated", s.Total.Losses(), s.Skipped, s.Dropped, s.Unstated),
			}
			want := []string{
				"total: 8 = 1 on time, 1+1 late, refused map[no-chain:1 not-found:1 overloaded:1], 1 failed, 1 cancelled",
				// Skipped are the first line of firstLog, which is empty, and its last one.
				"6 losses, 2 skipped, 7 dropped, 1 unstated",
			}
			if strings.Join(got, "\n") != strings.Join(want, "\n") {
				t.Errorf("by %s: got\n%s\nwant\n%s", c.by, strings.Join(got, "\n"), strings.Join(want, "\n"))
			}
		}
	}
}

// TestSummarizeUnknownKey requires an error for a key that lines do not have.
func TestSummarizeUnknownKey(t *testing.T) {
	if _, err := summarizer.Summarize("instance"); err == nil {
		t.Error("got no error, want one")
	}
}

// FuzzSummarize feeds arbitrary input to Summarize: it must not panic, and the groups must add
// up to the total.
func FuzzSummarize(f *testing.F) {
	f.Add(firstLog+secondLog, "customer")
	f.Add(`{"time":"2026-05-01T10:00:03Z","msg":"x","outcome":3,"order":1e300}`, "order")
	f.Fuzz(func(t *testing.T, text, by string) {
		s, err := summarizer.Summarize(summarizer.Key(by), strings.NewReader(text))
		if err != nil {
			return
		}
		sum := 0
		for _, g := range s.Groups {
			sum += g.Requests
		}
		if sum != s.Total.Requests {
			t.Errorf("got %d requests in the groups, want %d", sum, s.Total.Requests)
		}
	})
}
