package main_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const (
	// operationsPage is the operators' manual.
	operationsPage = "../docs/OPERATIONS.md"
	// examplesDir holds the files that the examples name.
	examplesDir = "testdata"
	// codeIndent begins each line of an example, and prompt each of its commands.
	codeIndent = "    "
	prompt     = codeIndent + "$ operator "
)

// buildOperator builds the command line tool and returns its path.
func buildOperator(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// runExample runs a command in the directory of the examples and returns what it prints, its
// lines without trailing spaces, and its exit code.
func runExample(ctx context.Context, t *testing.T, operator string, args ...string) (string, int) {
	t.Helper()
	c := exec.CommandContext(ctx, operator, args...)
	c.Dir = examplesDir
	out, err := c.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	var text strings.Builder
	for line := range strings.Lines(string(out)) {
		text.WriteString(strings.TrimRight(line, " \n") + "\n")
	}
	return text.String(), c.ProcessState.ExitCode()
}

// example is a command of the page with what it prints there.
type example struct {
	args []string
	want string
}

// examples returns the examples of a page whose commands name only files of examplesDir.
func examples(page string) []example {
	var out []example
	var last *example
	for line := range strings.Lines(page) {
		line = strings.TrimRight(line, " \n")
		switch command, isCommand := strings.CutPrefix(line, prompt); {
		case isCommand:
			last = nil
			if args := strings.Fields(command); haveFiles(args) {
				out = append(out, example{args: args})
				last = &out[len(out)-1]
			}
		case last != nil && line == "":
			last.want += "\n"
		case last != nil && strings.HasPrefix(line, codeIndent):
			last.want += strings.TrimPrefix(line, codeIndent) + "\n"
		default:
			last = nil
		}
	}
	return out
}

// haveFiles reports whether args names files, and all of them are in examplesDir.
func haveFiles(args []string) bool {
	files := 0
	for _, a := range args {
		if !strings.HasSuffix(a, ".log") && !strings.HasSuffix(a, ".toml") {
			continue
		}
		if _, err := os.Stat(filepath.Join(examplesDir, a)); err != nil {
			return false
		}
		files++
	}
	return files > 0
}

// TestPageExamples guards against examples in docs/OPERATIONS.md that differ from what the
// commands print.
func TestPageExamples(t *testing.T) {
	page, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	operator := buildOperator(t)
	verbs := make(map[string]bool)
	for _, e := range examples(string(page)) {
		verbs[e.args[0]] = true
		got, _ := runExample(t.Context(), t, operator, e.args...)
		if strings.TrimSpace(got) != strings.TrimSpace(e.want) {
			t.Errorf("operator %s: got\n%s\nwant\n%s", strings.Join(e.args, " "), got, e.want)
		}
	}
	for _, verb := range []string{"losses", "explain", "check"} {
		if !verbs[verb] {
			t.Errorf("the page has no example of %q with files of %s", verb, examplesDir)
		}
	}
}

// TestLossesCommand guards against an unknown group or file that is reported as an empty
// summary.
func TestLossesCommand(t *testing.T) {
	operator := buildOperator(t)
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{args: []string{"losses", "--by", "instance", "front-1.log"}, code: 2, want: `--by: want customer, route, order, size or kind, got "instance"`},
		{args: []string{"losses", "no-such.log"}, code: 1, want: "open the log"},
		{args: []string{"losses", "--output", "json", "--by", "kind", "front-1.log"}, want: `"name": "overloaded"`},
	} {
		out, code := runExample(t.Context(), t, operator, c.args...)
		if code != c.code || !strings.Contains(out, c.want) {
			t.Errorf("%s: got exit code %d and %s, want %d and %q", fmt.Sprint(c.args), code, out, c.code, c.want)
		}
	}
}

// sound is a declaration without findings, and inForce the answer of a router that has another
// limit in force.
const (
	sound = `[rank.urgent]
order = 0
first-token = "430ms"
between-tokens = "27ms"
queue-limit = 200
max-wait = "430ms"

[customer.council]
tier = "paying"
weight = 1.0

[customer.council.caller.desk]
key-sha256 = "0000000000000000000000000000000000000000000000000000000000000001"
rank = "urgent"
`
	inForce = `{"revision":17,"entries":{"base/rank/urgent":"queue-limit = 100\n"}}`
)

// TestCheckCommand guards against a check that reports faults with the exit code of sound files,
// or a difference from the version in force as a fault.
func TestCheckCommand(t *testing.T) {
	operator := buildOperator(t)
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, inForce)
	}))
	defer router.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	path := filepath.Join(t.TempDir(), "sound.toml")
	if err := os.WriteFile(path, []byte(sound), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		args []string
		code int
		want []string
	}{
		{name: "sound", args: []string{path}, want: []string{"no findings: 2 sections"}},
		{name: "sound, as JSON", args: []string{"--output", "json", path}, want: []string{`"findings": []`, `"sections": 2`}},
		{name: "findings, as JSON", args: []string{"--output", "json", "base.toml"}, code: 1, want: []string{`"line": 7`, `"key": "rank.urgent.max-wait"`}},
		{name: "differences", args: []string{"--against", router.URL, path}, want: []string{"- queue-limit = 100", "+ queue-limit = 200", "2 sections differ from revision 17"}},
		{name: "differences, as JSON", args: []string{"--output", "json", "--against", router.URL, path}, want: []string{`"against": {`, `"base": 17`}},
		{name: "findings and differences", args: []string{"--against", router.URL, "base.toml"}, code: 1, want: []string{"base.toml:7: rank.urgent.max-wait", "differ from revision 17"}},
		{name: "no such file", args: []string{"no-such.toml"}, code: 2, want: []string{"no-such.toml"}},
		{name: "no router", args: []string{"--against", gone.URL, path}, code: 2, want: []string{"no findings", "compare with the version in force"}},
		{name: "not TOML", args: []string{"front-1.log"}, code: 1, want: []string{"front-1.log:1: "}},
	} {
		out, code := runExample(t.Context(), t, operator, append([]string{"check"}, c.args...)...)
		if code != c.code {
			t.Errorf("%s: got exit code %d, want %d", c.name, code, c.code)
		}
		for _, want := range c.want {
			if !strings.Contains(out, want) {
				t.Errorf("%s: got %s, want %s in it", c.name, out, want)
			}
		}
	}
}
