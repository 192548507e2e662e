package main_test

import (
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/router/authenticator"
	"heatherhold.dev/standin/faulter"
)

// Exit codes of the operators' command line.
const (
	exitFindings = 1
	exitInvalid  = 2
	exitConflict = 3
	exitPending  = 4
)

func exitCode(err error) int {
	var e *exec.ExitError
	if errors.As(err, &e) {
		return e.ExitCode()
	}
	if err != nil {
		return -1
	}
	return 0
}

// revokedDeclarations returns the declarations with another key in place of the
// hospice's, so that the hospice's key is revoked.
func revokedDeclarations() string {
	return declarations(authenticator.Hash(hospiceKey), authenticator.Hash("another-key"))
}

// TestConcurrentApply applies two changes to the same base at once. One must be
// committed; the other must be refused with both sides of the conflict.
func TestConcurrentApply(t *testing.T) {
	s := newSystem(t, 2)
	var codes [2]int
	var outputs [2]string
	var group errgroup.Group
	for i, name := range []string{"r1", "r2"} {
		path := s.writeFile(name+"-race.toml", declarations("queue-limit = 1000", fmt.Sprintf("queue-limit = 10%d", i)))
		group.Go(func() error {
			out, err := s.runOperator(name, operatorKey, "apply", "--base", "1", path)
			codes[i], outputs[i] = exitCode(err), out
			return nil
		})
	}
	_ = group.Wait()
	if codes[0]+codes[1] != exitConflict || codes[0]*codes[1] != 0 {
		t.Fatalf("got exit codes %v, want one 0 and one %d; output %q", codes, exitConflict, outputs)
	}
	for i, out := range outputs {
		if codes[i] == exitConflict && (!strings.Contains(out, "theirs: queue-limit = 10") || !strings.Contains(out, "yours:  queue-limit = 10")) {
			t.Errorf("got %q, want both sides of the conflict", out)
		}
	}
}

// TestPausedInstance pauses one router during a change. The change is accepted
// once the paused router can no longer decide about requests. When the router
// resumes, it must not apply the old revision.
func TestPausedInstance(t *testing.T) {
	s := newSystem(t, 3)
	r3 := s.routers["r3"]
	r3.signal(t, syscall.SIGSTOP)
	out, err := s.runOperator("r1", operatorKey, "apply", "--base", "1", "--wait", "30s", s.writeFile("revoked.toml", revokedDeclarations()))
	if err != nil || !strings.Contains(out, "accepted") {
		t.Fatalf("got %q, %v; want accepted", out, err)
	}
	r3.signal(t, syscall.SIGCONT)
	eventually(t, "r3 applies the new revision", func() error {
		d := streamDraft(t.Context(), r3.caller, hospiceKey, "plate", 4)
		if d.status == http.StatusOK {
			t.Fatal("r3 served a key that was revoked by an accepted revision")
		}
		if d.status != http.StatusUnauthorized {
			return fmt.Errorf("got status %d, want 401", d.status)
		}
		return nil
	})
}

// TestTwoPausedInstances pauses two routers. The two might confirm the old revision
// to each other, so the change must not be reported as accepted while they are
// paused.
func TestTwoPausedInstances(t *testing.T) {
	s := newSystem(t, 3)
	s.routers["r2"].signal(t, syscall.SIGSTOP)
	s.routers["r3"].signal(t, syscall.SIGSTOP)
	out, err := s.runOperator("r1", operatorKey, "apply", "--base", "1", "--wait", "2s", s.writeFile("revoked.toml", revokedDeclarations()))
	if exitCode(err) != exitPending || !strings.Contains(out, "r2 (site-r2)") || !strings.Contains(out, "r3 (site-r3)") {
		t.Errorf("got %q, %v; want pending and both sites", out, err)
	}
	s.routers["r2"].signal(t, syscall.SIGCONT)
	s.routers["r3"].signal(t, syscall.SIGCONT)
	eventually(t, "in force at r2 and r3", func() error {
		for _, name := range []string{"r2", "r3"} {
			if d := streamDraft(t.Context(), s.routers[name].caller, hospiceKey, "plate", 4); d.status != http.StatusUnauthorized {
				return fmt.Errorf("got status %d at %s, want 401", d.status, name)
			}
		}
		return nil
	})
}

// TestTableOutage checks that, while the table service is down, drafts are still
// served, a new router gets the configuration from its peers, and a change is
// refused with a clear error.
func TestTableOutage(t *testing.T) {
	s := newSystem(t, 2)
	s.setPlatformFault(faulter.Fault{
		Path:   "/v1/table",
		Outage: true,
	})
	r3 := s.startRouter("r3")
	eventually(t, "r3 ready", func() error { return checkReadyz(r3) })
	for name, r := range s.routers {
		eventually(t, "draft at "+name, func() error {
			d := streamDraft(t.Context(), r.caller, councilKey, "plate", 8)
			if !d.complete {
				return fmt.Errorf("got %+v, want a complete response", d)
			}
			return nil
		})
	}
	out, err := s.runOperator("r1", operatorKey, "apply", "--base", "1", s.writeFile("revoked.toml", revokedDeclarations()))
	if exitCode(err) == 0 || !strings.Contains(out, "platform-down") {
		t.Errorf("got %q, %v; want platform-down", out, err)
	}
	s.setPlatformFault(faulter.Fault{Path: "/v1/table"})
	s.apply(1, revokedDeclarations())
}

// TestLostCommitResponse drops the table service's response to a commit after the
// commit took effect. The change must be made exactly once.
func TestLostCommitResponse(t *testing.T) {
	s := newSystem(t, 2)
	s.setPlatformFault(faulter.Fault{
		Path:          "/v1/table/commit",
		LoseResponses: true,
	})
	path := s.writeFile("revoked.toml", revokedDeclarations())
	out, err := s.runOperator("r1", operatorKey, "apply", "--base", "1", "--id", "change-a", "--wait", "20s", path)
	s.setPlatformFault(faulter.Fault{Path: "/v1/table/commit"})
	if err != nil {
		out, err = s.runOperator("r2", operatorKey, "apply", "--base", "1", "--id", "change-a", "--wait", "20s", path)
	}
	if err != nil || !strings.Contains(out, "revision 2") {
		t.Errorf("got %q, %v; want the change committed once, as revision 2", out, err)
	}
}

// TestDrain has two operators drain an endpoint at once. No router may send new work
// to its present incarnation; its next incarnation must be in use again.
func TestDrain(t *testing.T) {
	s := newSystem(t, 2)
	var group errgroup.Group
	for _, name := range []string{"r1", "r2"} {
		group.Go(func() error {
			out, err := s.runOperator(name, operatorKey, "drain", "e")
			if err != nil {
				t.Errorf("drain at %s: %v: %s", name, err, out)
			}
			return nil
		})
	}
	_ = group.Wait()
	for _, name := range []string{"r1", "r2"} {
		eventually(t, "e drained at "+name, func() error {
			status, err := s.status(name)
			if err != nil {
				return err
			}
			for _, e := range status.Endpoints {
				if e.Endpoint == "e" {
					return errors.New("endpoint e is still listed")
				}
			}
			return nil
		})
	}
	for i := range 10 {
		prompt := fmt.Sprintf("plate %d", i)
		checkComplete(t, streamDraft(t.Context(), s.routers["r1"].caller, councilKey, prompt, 8), prompt, 8)
	}
	if got := s.startedStreams(t, "e"); got != 0 {
		t.Errorf("got %d streams at the drained endpoint, want 0", got)
	}
	s.engines["e"].signal(t, syscall.SIGKILL)
	s.startEngine("e:0-12")
	s.awaitReady(7)
}

// TestBadInput checks the status of requests with invalid keys, paths and bodies.
func TestBadInput(t *testing.T) {
	s := newSystem(t, 1)
	r := s.routers["r1"]
	for _, test := range []struct {
		name, key, path, body string
		want                  int
	}{
		{name: "no such key", key: "x", path: "/v1/completions", body: `{}`, want: 401},
		{name: "operator's key", key: operatorKey, path: "/v1/completions", body: `{}`, want: 401},
		{name: "not JSON", key: councilKey, path: "/v1/completions", body: `{`, want: 400},
		{name: "no model", key: councilKey, path: "/v1/completions", body: `{"prompt":"x"}`, want: 404},
		{name: "empty prompt", key: councilKey, path: "/v1/completions", body: `{"model":"drafts"}`, want: 400},
		{name: "too many tokens", key: councilKey, path: "/v1/completions", body: `{"model":"drafts","prompt":"x","max_tokens":100000}`, want: 400},
		{name: "plain service as model", key: councilKey, path: "/v1/completions", body: `{"model":"orders","prompt":"x"}`, want: 400},
		{name: "no idempotency key", key: councilKey, path: "/services/orders/orders", body: `x`, want: 400},
		{name: "no such service", key: councilKey, path: "/services/none/x", body: `x`, want: 404},
		{name: "no such path", key: councilKey, path: "/nowhere", body: `x`, want: 404},
		{name: "large body", key: councilKey, path: "/v1/completions", body: strings.Repeat("x", 2<<20), want: 413},
	} {
		res, err := post(t.Context(), r.caller, test.key, test.path, []byte(test.body), nil)
		if err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		res.Body.Close()
		if res.StatusCode != test.want {
			t.Errorf("%s: got status %d, want %d", test.name, res.StatusCode, test.want)
		}
	}
	if out, err := s.runOperator("r1", councilKey, "get"); exitCode(err) != 1 || !strings.Contains(out, "unauthenticated") {
		t.Errorf("caller's key at the operators' interface: got %q, %v; want unauthenticated", out, err)
	}
	path := s.writeFile("bad.toml", declarations("tier = \"free\"", "tier = \"gratis\""))
	for _, test := range []struct {
		name string
		args []string
		code int
		want []string
	}{
		{name: "checked", args: []string{"check", path}, code: exitFindings, want: []string{"bad.toml:", "customer.hospice.tier"}},
		{name: "compared", args: []string{"diff", path}, code: exitInvalid, want: []string{"bad.toml:", "customer.hospice.tier"}},
		{name: "applied", args: []string{"apply", "--base", "1", path}, code: exitInvalid, want: []string{"bad.toml:", "customer.hospice.tier"}},
		{name: "no such file", args: []string{"check", path + "x"}, code: exitInvalid, want: []string{"bad.tomlx"}},
	} {
		out, err := s.runOperator("r1", operatorKey, test.args...)
		if got := exitCode(err); got != test.code {
			t.Errorf("%s: got exit code %d, want %d", test.name, got, test.code)
		}
		for _, want := range test.want {
			if !strings.Contains(out, want) {
				t.Errorf("%s: got %q, want %q in it", test.name, out, want)
			}
		}
	}
}
