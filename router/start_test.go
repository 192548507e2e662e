package main_test

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestStartFails requires that a router that can't start says why and ends.
func TestStartFails(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	settings := filepath.Join(t.TempDir(), "r.toml")
	text := "[listen]\npeer = \"" + taken.Addr().String() + "\"\n"
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(filepath.Join(binaries, "router"), "--settings", settings).CombinedOutput()
	if err == nil {
		t.Error("got exit code 0, want a failure")
	}
	if want := "address already in use"; !strings.Contains(string(out), want) {
		t.Errorf("got output %q, want it to say %q", out, want)
	}
}
