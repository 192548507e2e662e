package checker_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/operator/checker"
)

const base = `
[rank.urgent]
order = 0
first-token = "400ms"
between-tokens = "27ms"
queue-limit = 200
max-wait = "400ms"

[rank.batch]
order = 1
first-token = "1m"
between-tokens = "1s"
queue-limit = 200
max-wait = "2m"

[service.drafts]
kind = "model"
version = "v1"
layers = 12
max-tokens = 256
progress = "2s"

[customer.council]
tier = "paying"
weight = 1.0

[customer.council.caller.desk]
key-sha256 = "0000000000000000000000000000000000000000000000000000000000000001"
rank = "urgent"
services = ["drafts"]

[link.gijon-getxo]
from = "gijon"
to = "getxo"
delay = "500us"
`

const (
	gijon = "site = \"gijon\"\n"
	getxo = "site = \"getxo\"\n"
)

// check returns the findings in files.
func check(texts ...string) []string {
	var files []declarer.File
	for i, text := range texts {
		files = append(files, declarer.File{
			Name: fmt.Sprintf("f%d.toml", i),
			Data: []byte(text),
		})
	}
	var out []string
	for _, f := range checker.Check(files).Findings {
		out = append(out, fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Detail))
	}
	return out
}

// replaced returns the base with some texts replaced.
func replaced(oldNew ...string) string {
	return strings.NewReplacer(oldNew...).Replace(base)
}

// TestCheck guards against faults that are not found, found at the wrong place or once for each
// site, and against findings in sound files.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name  string
		files []string
		want  []string
	}{
		{name: "sound", files: []string{base, gijon, getxo}},
		{name: "sound, overlays first", files: []string{gijon, getxo, base}},
		{name: "data centres not known", files: []string{base}},
		{name: "link to no site", files: []string{base, gijon}, want: []string{
			`f0.toml:34: link.gijon-getxo.to: no overlay names the data centre "getxo"`,
		}},
		{name: "site of several data centres", files: []string{replaced(`"getxo"`, `"gijon-2"`), gijon + "[link.one]\nfrom = \"gijon\"\nto = \"gijon-2\"\n"}},
		{name: "max-wait below first-token", files: []string{replaced(`max-wait = "400ms"`, `max-wait = "399ms"`), gijon, getxo}, want: []string{
			"f0.toml:7: rank.urgent.max-wait: 399ms is below first-token, 400ms: requests are refused that could still be on time",
		}},
		{name: "max-wait below first-token at one site", files: []string{base, gijon + "[rank.batch]\nfirst-token = \"3m\"\n", getxo}, want: []string{
			"f0.toml:14: rank.batch.max-wait: 2m0s is below first-token, 3m0s: requests are refused that could still be on time",
		}},
		{name: "rank that no caller may use", files: []string{replaced(`rank = "urgent"`, `rank = "batch"`), gijon, getxo}, want: []string{
			"f0.toml:2: rank.urgent: no caller may use the rank: none has it or a more urgent one",
		}},
		{name: "rank that a caller may use at one site", files: []string{replaced(`rank = "urgent"`, `rank = "batch"`), gijon + "[customer.council.caller.desk]\nrank = \"urgent\"\n", getxo}},
		{name: "rank not declared", files: []string{replaced(`rank = "urgent"`, `rank = "urgnt"`), gijon, getxo}, want: []string{
			"f0.toml:2: rank.urgent: no caller may use the rank: none has it or a more urgent one",
			"f0.toml:9: rank.batch: no caller may use the rank: none has it or a more urgent one",
			`f0.toml:29: customer.council.caller.desk.rank: unknown rank "urgnt"`,
		}},
		{name: "service not declared", files: []string{replaced(`["drafts"]`, `["draft"]`), gijon, getxo}, want: []string{
			`f0.toml:30: customer.council.caller.desk.services: unknown service "draft"`,
		}},
		{name: "ranks of the same order", files: []string{replaced("order = 1", "order = 0"), gijon, getxo}, want: []string{
			`f0.toml:3: rank.urgent.order: 0 is already the order of rank "batch"`,
		}},
		{name: "shares over 1", files: []string{replaced("order = 1", "order = 1\nguaranteed-share = 0.6\nfree-share = 0.5"), gijon, getxo}, want: []string{
			"f0.toml:1: rank: the guaranteed-share and free-share values of all ranks add up to 1.1, more than 1",
		}},
		{name: "not decoded", files: []string{base, "site = 3\n", getxo + "rnk = 1\n"}, want: []string{"f1.toml:1: ", "f2.toml:2: rnk: unknown key"}},
	} {
		got := check(c.files...)
		if len(got) != len(c.want) {
			t.Errorf("%s: got\n%s\nwant\n%s", c.name, strings.Join(got, "\n"), strings.Join(c.want, "\n"))
			continue
		}
		for i := range got {
			if !strings.HasPrefix(got[i], c.want[i]) {
				t.Errorf("%s: got %q, want %q", c.name, got[i], c.want[i])
			}
		}
	}
}

// TestQuickStart requires that the declarations of the quick start have no findings.
func TestQuickStart(t *testing.T) {
	paths, err := filepath.Glob("../../quickstart/declarations/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("got %d files and error %v, want some", len(paths), err)
	}
	var files []declarer.File
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, declarer.File{
			Name: p,
			Data: data,
		})
	}
	report := checker.Check(files)
	if len(report.Findings) > 0 {
		t.Errorf("got findings %v, want none", report.Findings)
	}
	if report.Sections == 0 {
		t.Error("got no sections, want some")
	}
}

// FuzzCheck feeds arbitrary files to Check: it must not panic, each finding must have a file and a
// line of it, and files that a router refuses must have findings.
func FuzzCheck(f *testing.F) {
	f.Add(base, gijon)
	f.Add("[rank", "site = 1")
	f.Fuzz(func(t *testing.T, a, b string) {
		files := []declarer.File{
			{Name: "a", Data: []byte(a)},
			{Name: "b", Data: []byte(b)},
		}
		report := checker.Check(files)
		for _, found := range report.Findings {
			text, ok := map[string]string{"a": a, "b": b}[found.File]
			if lines := strings.Count(text, "\n") + 1; !ok || found.Line < 1 || found.Line > lines {
				t.Errorf("got finding %+v, want one in a file", found)
			}
		}
		if _, err := declarer.Parse(files); err != nil && len(report.Findings) == 0 {
			t.Errorf("got no findings, want one for %v", err)
		}
	})
}
