package declarer_test

import (
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
)

var base = fmt.Sprintf(`
[rank.urgent]
order = 0
first-token = "430ms"
between-tokens = "27ms"
guaranteed-share = 0.3
queue-limit = 200
max-wait = "400ms"

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
key-sha256 = "%064x"
rank = "urgent"
`, 1)

const overlay = `
site = "getxo"
[rank.urgent]
queue-limit = 100
`

func parse(texts ...string) (declarer.Document, error) {
	var files []declarer.File
	for i, text := range texts {
		files = append(files, declarer.File{
			Name: fmt.Sprintf("f%d.toml", i),
			Data: []byte(text),
		})
	}
	return declarer.Parse(files)
}

// TestOverlay requires that an overlay changes only the keys that it sets, and
// only at its own site.
func TestOverlay(t *testing.T) {
	doc, err := parse(base, overlay)
	if err != nil {
		t.Fatal(err)
	}
	for site, want := range map[identifier.Site]int{"gijon": 200, "getxo": 100} {
		d, err := doc.At(site)
		if err != nil {
			t.Fatal(err)
		}
		if got := d.Rank["urgent"].QueueLimit; got != want {
			t.Errorf("%s: got queue limit %d, want %d", site, got, want)
		}
		if got, want := d.Rank["urgent"].MaxWait.Std().String(), "400ms"; got != want {
			t.Errorf("%s: got max wait %s, want %s", site, got, want)
		}
	}
}

// TestParseErrors requires that each invalid input gives an error with file, line
// and key.
func TestParseErrors(t *testing.T) {
	for _, test := range []struct {
		name  string
		files []string
		want  string
	}{
		{name: "unknown key", files: []string{strings.Replace(base, "order = 0", "order = 0\nordr = 1", 1)}, want: "f0.toml:4: rank.urgent.ordr: unknown key"},
		{name: "wrong unit", files: []string{strings.Replace(base, `"430ms"`, `"430"`, 1)}, want: "f0.toml:4: rank.urgent.first-token:"},
		{name: "no unit", files: []string{strings.Replace(base, `"27ms"`, `27`, 1)}, want: "f0.toml:5: rank.urgent.between-tokens:"},
		{name: "missing", files: []string{strings.Replace(base, "layers = 12\n", "", 1)}, want: "service.drafts.layers: want 1 or more"},
		{name: "no such rank", files: []string{strings.Replace(base, `rank = "urgent"`, `rank = "urgnt"`, 1)}, want: `customer.council.caller.desk.rank: unknown rank "urgnt"`},
		{name: "shares", files: []string{strings.Replace(base, "guaranteed-share = 0.3", "guaranteed-share = 1.3", 1)}, want: "f0.toml:6: rank.urgent.guaranteed-share: want 0 to 1"},
		{name: "two overlays", files: []string{base, overlay, overlay}, want: `f2.toml:2: site: f1.toml already declares site "getxo"`},
		{name: "two bases", files: []string{base, base}, want: "f1.toml:1: site: f0.toml already declares the base"},
		{name: "no base", files: []string{overlay}, want: "no base file"},
		{name: "not TOML", files: []string{"[rank"}, want: "f0.toml:1:"},
		{name: "overlay's fault", files: []string{base, strings.Replace(overlay, "100", "0", 1)}, want: "f1.toml:4: rank.urgent.queue-limit: want 1 or more"},
	} {
		_, err := parse(test.files...)
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got %v, want %q", test.name, err, test.want)
		}
	}
}

// TestRefresh requires that refreshing only the changed sections gives the same
// declaration as reading all of them.
func TestRefresh(t *testing.T) {
	old, err := parse(base, overlay)
	if err != nil {
		t.Fatal(err)
	}
	d, err := old.At("getxo")
	if err != nil {
		t.Fatal(err)
	}
	next, err := parse(strings.Replace(strings.Replace(base, "layers = 12", "layers = 24", 1), "order = 0", "order = 3", 1))
	if err != nil {
		t.Fatal(err)
	}
	change := old.Diff(next)
	if got := old.Apply(change); !maps.EqualFunc(got, next, func(a, b []byte) bool { return string(a) == string(b) }) {
		t.Errorf("got %v, want %v", got, next)
	}
	got, err := next.Refresh(d, "getxo", change.Keys())
	if err != nil {
		t.Fatal(err)
	}
	want, err := next.At("getxo")
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if d.Rank["urgent"].Order != 0 {
		t.Error("the declaration in force was changed in place")
	}
}

// FuzzParse feeds arbitrary input to the parser: it must not panic, and every
// document that it accepts must pass Check.
func FuzzParse(f *testing.F) {
	f.Add(base, overlay)
	f.Add("[rank", "")
	f.Add("rank = 1", "site = 1")
	f.Fuzz(func(t *testing.T, a, b string) {
		doc, err := parse(a, b)
		if err != nil {
			return
		}
		if err := doc.Check(); err != nil {
			t.Errorf("got error %v from Check of a document that the parser accepted, want none", err)
		}
	})
}
