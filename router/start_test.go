package main_test

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestStartFails checks that a router that cannot start reports the cause and exits.
func TestStartFails(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	settings := filepath.Join(t.TempDir(), "r.toml")
	text := "[listen]\npeer = \"" + listener.Addr().String() + "\"\n"
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(filepath.Join(binDir, "router"), "--settings", settings).CombinedOutput()
	if err == nil {
		t.Error("got exit code 0, want a non-zero one")
	}
	if want := "address already in use"; !strings.Contains(string(out), want) {
		t.Errorf("got output %q, want it to contain %q", out, want)
	}
}
