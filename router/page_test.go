package main_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// page is what operators read.
const page = "../docs/OPERATIONS.md"

// sources are the trees whose log lines and metrics the page lists.
var sources = []string{".", "../platform"}

// eachFile parses every source file but tests and generated ones.
func eachFile(t *testing.T, do func(*ast.File)) {
	t.Helper()
	for _, root := range sources {
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err == nil {
				do(f)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// events returns the texts of all log lines, and metrics the names of all metrics.
func events(t *testing.T) (events, metrics map[string]bool) {
	t.Helper()
	events, metrics = make(map[string]bool), make(map[string]bool)
	name := regexp.MustCompile(`heatherhold_[a-z_]+`)
	eachFile(t, func(f *ast.File) {
		ast.Inspect(f, func(n ast.Node) bool {
			if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
				for _, m := range name.FindAllString(lit.Value, -1) {
					metrics[m] = true
				}
			}
			if text, ok := logged(n); ok {
				events[text] = true
			}
			return true
		})
	})
	return events, metrics
}

// logged returns the text of a log line, if n is a call that writes one.
func logged(n ast.Node) (string, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) != 1 {
		return "", false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	switch method.Sel.Name {
	case "Debug", "Info", "Warn", "Error":
	default:
		return "", false
	}
	lit, ok := call.Args[0].(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(lit.Value)
	return text, err == nil
}

// TestOperationsPage holds docs/OPERATIONS.md against the code, both ways: each
// log line and metric is on the page, and each that the page lists exists.
func TestOperationsPage(t *testing.T) {
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	events, metrics := events(t)
	if len(events) < 30 || len(metrics) < 10 {
		t.Fatalf("got %d events and %d metrics in the code, want more", len(events), len(metrics))
	}
	for e := range events {
		if !strings.Contains(string(text), "| `"+e+"` |") {
			t.Errorf("the page lacks the event %q", e)
		}
	}
	for m := range metrics {
		if !strings.Contains(string(text), "`"+m) {
			t.Errorf("the page lacks the metric %s", m)
		}
	}
	section := between(string(text), "## Log events", "## Metrics")
	for _, row := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(section, -1) {
		if !events[row[1]] {
			t.Errorf("the page lists the event %q, which the code does not write", row[1])
		}
	}
	for _, m := range regexp.MustCompile(`heatherhold_[a-z_]+`).FindAllString(string(text), -1) {
		if !metrics[m] {
			t.Errorf("the page lists the metric %s, which the code does not have", m)
		}
	}
}

// between returns the text after the first heading and before the second.
func between(text, from, to string) string {
	_, text, _ = strings.Cut(text, from)
	text, _, _ = strings.Cut(text, to)
	return text
}
