package pacer_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed, the number of checks and the number of steps unless the
// command line sets them, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed":   "11",
		"rapid.checks": "60",
		"rapid.steps":  "60",
	} {
		set := false
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if set {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
