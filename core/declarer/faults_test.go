package declarer_test

import (
	"fmt"
	"strings"
	"testing"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/decoder"
)

// decode returns the faults of files.
func decode(texts ...string) []*decoder.Error {
	var files []declarer.File
	for i, text := range texts {
		files = append(files, declarer.File{
			Name: fmt.Sprintf("f%d.toml", i),
			Data: []byte(text),
		})
	}
	decoded, faults := declarer.Decode(files)
	if decoded != nil {
		faults = append(faults, decoded.Faults()...)
	}
	return faults
}

// TestAllFaults guards against a fault that hides the others, in the same file or another one.
func TestAllFaults(t *testing.T) {
	unknown := strings.NewReplacer("order = 0", "order = 0\nordr = 1", "layers = 12", "layrs = 12").Replace(base)
	for _, test := range []struct {
		name  string
		files []string
		want  []string
	}{
		{name: "none", files: []string{base, overlay}},
		{name: "unknown keys in two files", files: []string{unknown, overlay + "queu = 1\n"}, want: []string{
			"f0.toml:4: rank.urgent.ordr: unknown key",
			"f0.toml:14: service.drafts.layrs: unknown key",
			"f1.toml:5: rank.urgent.queu: unknown key",
		}},
		{name: "not TOML, and a wrong unit", files: []string{"[rank", strings.Replace(overlay, "100", `"1"`, 1)}, want: []string{"f0.toml:1:", "f1.toml:4:"}},
		{name: "several limits", files: []string{strings.NewReplacer("queue-limit = 200", "queue-limit = 0", "layers = 12", "layers = 0").Replace(base)}, want: []string{
			"f0.toml:7: rank.urgent.queue-limit: want 1 or more, got 0",
			"f0.toml:13: service.drafts.layers: want 1 or more, got 0",
		}},
		{name: "faults of the base before and after it is overlaid", files: []string{overlay, strings.NewReplacer("share = 0.3", "share = 0.7\nfree-share = 0.5", "queue-limit = 200", "queue-limit = 0").Replace(base)}, want: []string{
			"f1.toml:8: rank.urgent.queue-limit: want 1 or more, got 0",
			"f1.toml:1: rank: the guaranteed-share and free-share values of all ranks add up to 1.2",
		}},
		{name: "the same fault in base and overlay", files: []string{strings.Replace(base, "queue-limit = 200", "queue-limit = 0", 1), strings.Replace(overlay, "100", "0", 1)}, want: []string{
			"f0.toml:7: rank.urgent.queue-limit: want 1 or more, got 0",
			"f1.toml:4: rank.urgent.queue-limit: want 1 or more, got 0",
		}},
		{name: "no base", files: []string{overlay}, want: []string{"f0.toml:1: no base file"}},
		{name: "two overlays", files: []string{base, overlay, overlay}, want: []string{"f2.toml:2: site: f1.toml already declares"}},
		{name: "no files", want: []string{":1: no base file"}},
	} {
		got := decode(test.files...)
		if len(got) != len(test.want) {
			t.Errorf("%s: got %v, want %d faults", test.name, got, len(test.want))
			continue
		}
		for i, want := range test.want {
			if !strings.HasPrefix(got[i].Error(), want) {
				t.Errorf("%s: got %q, want %q", test.name, got[i], want)
			}
		}
	}
}

// FuzzDecode guards against files that Decode takes without a fault and Parse refuses, or the
// reverse.
func FuzzDecode(f *testing.F) {
	f.Add(base, overlay)
	f.Add("[rank", "")
	f.Add("rank = 1", "site = 1")
	f.Fuzz(func(t *testing.T, a, b string) {
		_, err := parse(a, b)
		faults := decode(a, b)
		if got, want := len(faults) == 0, err == nil; got != want {
			t.Errorf("got faults %v, want those of %v", faults, err)
		}
	})
}
