package reader_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"heatherhold.dev/operator/reader"
)

const line = `{"instance":"r1","level":"info","msg":"serving","revision":3,"time":"2026-05-01T10:00:02Z"}`

// TestEach guards against lines that are lost after one that can't be read or is too long.
func TestEach(t *testing.T) {
	long := `{"msg":"` + strings.Repeat("x", 3<<20) + `"}`
	for _, c := range []struct {
		name    string
		text    string
		lines   int
		skipped int
	}{
		{name: "nothing"},
		{name: "one line", text: line + "\n", lines: 1},
		{name: "no final line end", text: line + "\n" + line, lines: 2},
		{name: "collector's prefix", text: "r1 | " + line + "\n", lines: 1},
		{name: "no JSON", text: "starting\n" + line + "\n", lines: 1, skipped: 1},
		{name: "cut off", text: line + "\n" + line[:40], lines: 1, skipped: 1},
		{name: "empty line", text: "\n" + line + "\n", lines: 1, skipped: 1},
		{name: "no time", text: `{"msg":"serving"}` + "\n" + line, lines: 1, skipped: 1},
		{name: "too long", text: line + "\n" + long + "\n" + line + "\n", lines: 2, skipped: 1},
		{name: "too long at the end", text: line + "\n" + long, lines: 1, skipped: 1},
	} {
		lines := 0
		skipped, err := reader.Each(strings.NewReader(c.text), func(l reader.Line) {
			lines++
			revision, ok := l.Number("revision")
			if l.Event != "serving" || l.Instance != "r1" || revision != 3 || !ok {
				t.Errorf("%s: got %+v", c.name, l)
			}
		})
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		if lines != c.lines || skipped != c.skipped {
			t.Errorf("%s: got %d lines and %d skipped, want %d and %d", c.name, lines, skipped, c.lines, c.skipped)
		}
	}
}

// TestEachFailedRead guards against a log that is read only in part without an error.
func TestEachFailedRead(t *testing.T) {
	failure := errors.New("disk failed")
	_, err := reader.Each(io.MultiReader(strings.NewReader(line+"\n"), iotest.ErrReader(failure)), func(reader.Line) {})
	if !errors.Is(err, failure) {
		t.Errorf("got error %v, want %v", err, failure)
	}
}
