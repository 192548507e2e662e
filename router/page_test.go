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

// operationsPage is the operators' manual.
const operationsPage = "../docs/OPERATIONS.md"

// sourceDirs are the directory trees whose log messages and metrics the page lists.
var sourceDirs = []string{".", "../platform"}

// eachSourceFile parses every source file except tests and generated files, and
// calls do with each.
func eachSourceFile(t *testing.T, do func(*ast.File)) {
	t.Helper()
	for _, root := range sourceDirs {
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

// eventsAndMetrics returns all log messages and the names of all metrics.
func eventsAndMetrics(t *testing.T) (events, metrics map[string]bool) {
	t.Helper()
	events, metrics = make(map[string]bool), make(map[string]bool)
	name := regexp.MustCompile(`heatherhold_[a-z_]+`)
	eachSourceFile(t, func(f *ast.File) {
		ast.Inspect(f, func(n ast.Node) bool {
			if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
				for _, m := range name.FindAllString(lit.Value, -1) {
					metrics[m] = true
				}
			}
			if text, ok := logMessage(n); ok {
				events[text] = true
			}
			return true
		})
	})
	return events, metrics
}

// logMessage returns the message that n logs, if n is a call that logs one.
func logMessage(n ast.Node) (string, bool) {
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

// TestOperationsPage compares docs/OPERATIONS.md with the code: each log message and
// metric must be on the page, and each one on the page must be in the code.
func TestOperationsPage(t *testing.T) {
	text, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	events, metrics := eventsAndMetrics(t)
	if len(events) < 30 || len(metrics) < 10 {
		t.Fatalf("got %d events and %d metrics in the code, want at least 30 and 10", len(events), len(metrics))
	}
	for e := range events {
		if !strings.Contains(string(text), "| `"+e+"` |") {
			t.Errorf("the page does not list the event %q", e)
		}
	}
	for m := range metrics {
		if !strings.Contains(string(text), "`"+m) {
			t.Errorf("the page does not list the metric %s", m)
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
