package identifier_test

import (
	"testing"

	"heatherhold.dev/core/identifier"
)

// TestParseAddress checks which addresses are understood, and their one form.
func TestParseAddress(t *testing.T) {
	for text, want := range map[string]string{
		"10.0.0.1:80":        "10.0.0.1:80",
		"10.0.0.1:00080":     "10.0.0.1:80",
		"[2001:DB8::0:1]:80": "[2001:db8::1]:80",
		"":                   "",
		"10.0.0.1":           "",
		"10.0.0.1:0":         "",
		"10.0.0.1:65536":     "",
		"10.0.0.1:-80":       "",
		"10.0.0.01:80":       "",
		"0.0.0.0:80":         "",
		"[::]:80":            "",
		"224.0.0.1:80":       "",
		"[fe80::1%eth0]:80":  "",
		"h.example:80":       "",
		"10.0.0.1:80 ":       "",
	} {
		got, err := identifier.ParseAddress(text)
		if got != want || (err != nil) != (want == "") {
			t.Errorf("%q: got %q and error %v, want %q", text, got, err, want)
		}
	}
}
