package suppressor_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"heatherhold.dev/core/suppressor"
)

// ExampleSet reports a key again only after a reading of everything without it.
func ExampleSet() {
	var s suppressor.Set
	read := func(keys ...string) {
		s.Begin()
		for _, key := range keys {
			fmt.Print(key, " ", s.Add(key), "; ")
		}
		s.End()
	}
	read("a", "b")
	read("a")
	read("a", "b")
	s.Remove("a")
	fmt.Println("a", s.Add("a"))
	// Output: a true; b true; a false; a false; b true; a true
}

// TestCut checks that a long error is cut.
func TestCut(t *testing.T) {
	if got, want := len(suppressor.Cut(errors.New(strings.Repeat("x", 1000)))), 200; got != want {
		t.Errorf("got %d bytes, want %d", got, want)
	}
	if got, want := suppressor.Cut(errors.New("short")), "short"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
