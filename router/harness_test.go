package main_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/authenticator"
	"heatherhold.dev/standin/faulter"
	"heatherhold.dev/standin/generator"
)

// binDir is the directory of the programs under test. They are built once, with
// the race detector unless benchmarks run.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "heatherhold")
	if err != nil {
		panic(err)
	}
	binDir = dir
	flag.Parse()
	args := []string{"build", "-o", dir + "/"}
	if flag.Lookup("test.bench").Value.String() == "" {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "../router", "../standin", "../operator")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	if err := os.RemoveAll(dir); err != nil {
		panic(err)
	}
	os.Exit(code)
}

const (
	// API keys of the test's callers and operators.
	councilKey   = "council-key"
	hospiceKey   = "hospice-key"
	operatorKey  = "operator-key"
	bootstrapKey = "bootstrap-key"
	// layers is the number of layers of the test's model.
	layers = 12
	// waitLimit bounds every wait. It is much longer than any wait should take.
	waitLimit = 20 * time.Second
)

// process is a running program. Its output is collected in log.
type process struct {
	name    string
	cmd     *exec.Cmd
	address string
	done    chan struct{}
	log     *bytes.Buffer
	mu      *sync.Mutex
}

// system is a complete system whose parts run as separate processes: the platform,
// model engines, plain services and routers.
type system struct {
	t        testing.TB
	dir      string
	platform *process
	engines  map[string]*process
	services map[string]*process
	routers  map[string]*router
}

// router is a router process and its addresses.
type router struct {
	*process
	caller   string
	operator string
	peer     string
	settings string
}

// nextPort counts the ports that freeAddress has tried. They are below the range
// that the operating system uses for outgoing connections; otherwise such a
// connection could take an address before the process that is to listen on it
// starts. Test runs at the same time usually use different blocks of ports.
var nextPort atomic.Int32

const (
	firstPort  = 21000
	portBlock  = 1000
	portBlocks = 11
)

func freeAddress(t testing.TB) string {
	t.Helper()
	for {
		block := os.Getpid() % portBlocks * portBlock
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+block+int(nextPort.Add(1)))
		l, err := net.Listen("tcp", address)
		if err == nil {
			l.Close()
			return address
		}
	}
}

// newSystem starts the platform, engines, a plain service and n routers, applies
// the declarations and waits until every router is ready. Without engines it starts
// a default set.
func newSystem(t testing.TB, n int, engines ...string) *system {
	t.Helper()
	s := &system{
		t:        t,
		dir:      t.TempDir(),
		engines:  make(map[string]*process),
		services: make(map[string]*process),
		routers:  make(map[string]*router),
	}
	address := freeAddress(t)
	s.platform = s.start("platform", "standin", "platform", "--listen", address, "--expiry", "2s")
	s.platform.address = address
	if len(engines) == 0 {
		engines = []string{"a:0-4", "b:4-12", "c:0-6", "d:6-12", "e:0-12", "f:0-4", "g:4-12"}
	}
	for _, e := range engines {
		s.startEngine(e)
	}
	s.startService("s1")
	for i := range n {
		s.startRouter(fmt.Sprintf("r%d", i+1))
	}
	s.apply(0, declarations())
	s.awaitReady(len(engines))
	return s
}

// start starts a program, which is killed when the test ends.
func (s *system) start(name, program string, args ...string) *process {
	s.t.Helper()
	p := &process{
		name: name,
		cmd:  exec.Command(filepath.Join(binDir, program), args...),
		done: make(chan struct{}),
		log:  &bytes.Buffer{},
		mu:   &sync.Mutex{},
	}
	p.cmd.Stdout = p
	p.cmd.Stderr = p
	// Without this the race detector adds a second to each exit.
	p.cmd.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	exited := make(chan struct{})
	time.AfterFunc(0, func() {
		defer close(exited)
		_ = p.cmd.Wait()
		close(p.done)
	})
	s.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-exited
		if s.t.Failed() {
			s.t.Logf("--- log of %s\n%s", name, p.logText())
		}
		if strings.Contains(p.logText(), "DATA RACE") {
			s.t.Errorf("data race in %s:\n%s", name, p.logText())
		}
	})
	return p
}

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) signal(t testing.TB, sig os.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		t.Fatalf("signal %s: %v", p.name, err)
	}
}

// startEngine starts an engine described as "name:from-to" or
// "name:from-to@version".
func (s *system) startEngine(description string) {
	s.t.Helper()
	name, layout, _ := strings.Cut(description, ":")
	layout, version, ok := strings.Cut(layout, "@")
	if !ok {
		version = "v1"
	}
	from, to, _ := strings.Cut(layout, "-")
	address := freeAddress(s.t)
	p := s.start(name, "standin", "engine", "--name", name, "--from", from, "--to", to, "--version", version,
		"--listen", address, "--platform", s.url(), "--token-micros", "500", "--prefill-micros", "1")
	p.address = address
	s.engines[name] = p
}

func (s *system) startService(name string, flags ...string) *process {
	s.t.Helper()
	address := freeAddress(s.t)
	args := append([]string{"service", "--name", name, "--service", "orders", "--listen", address, "--platform", s.url()}, flags...)
	p := s.start(name, "standin", args...)
	p.address = address
	s.services[name] = p
	return p
}

func (s *system) url() string {
	return "http://" + s.platform.address
}

// startRouter starts a router. A router that was started before is started again
// with the same addresses and settings.
func (s *system) startRouter(name string) *router {
	s.t.Helper()
	r, ok := s.routers[name]
	if !ok {
		r = &router{
			caller:   freeAddress(s.t),
			operator: freeAddress(s.t),
			peer:     freeAddress(s.t),
			settings: filepath.Join(s.dir, name+".toml"),
		}
		s.routers[name] = r
		if err := os.WriteFile(r.settings, []byte(s.routerSettings(name, r)), 0o600); err != nil {
			s.t.Fatal(err)
		}
	}
	r.process = s.start(name, "router", "--settings", r.settings)
	return r
}

func (s *system) routerSettings(name string, r *router) string {
	return fmt.Sprintf(`
instance = %q
data-centre = "gijon"
site = "site-%s"
[listen]
caller = %q
operator = %q
peer = %q
[platform]
url = %q
timeout = "500ms"
list-interval = "200ms"
table-interval = "1s"
[peer]
interval = "100ms"
term = "1s"
silence = "1s"
[caller]
body-timeout = "500ms"
[operator]
key-sha256 = %q
[stop]
notice = "500ms"
finish = "30s"
`, name, name, r.caller, r.operator, r.peer, s.url(), authenticator.Hash(bootstrapKey))
}

// declarations returns the declarations that the tests apply. The arguments are
// pairs of old and new texts, as for strings.NewReplacer.
func declarations(replace ...string) string {
	text := fmt.Sprintf(`
[rank.urgent]
order = 0
first-token = "430ms"
between-tokens = "27ms"
guaranteed-share = 0.3
queue-limit = 1000
max-wait = "20s"
[rank.batch]
order = 1
first-token = "10m"
between-tokens = "1s"
guaranteed-share = 0.1
queue-limit = 5000
max-wait = "10m"
[service.drafts]
kind = "model"
version = "v1"
layers = 12
max-tokens = 256
progress = "1s"
[service.orders]
kind = "plain"
repeatable-methods = ["GET"]
progress = "2s"
[customer.council]
tier = "paying"
weight = 1.0
[customer.council.caller.desk]
key-sha256 = "%s"
rank = "urgent"
[customer.hospice]
tier = "free"
weight = 1.0
[customer.hospice.caller.volunteer]
key-sha256 = "%s"
rank = "batch"
[operator.maria]
key-sha256 = "%s"
`, authenticator.Hash(councilKey), authenticator.Hash(hospiceKey), authenticator.Hash(operatorKey))
	return strings.NewReplacer(replace...).Replace(text)
}

// apply applies a base file at router r1 through the operators' command line.
func (s *system) apply(base int, text string) {
	s.t.Helper()
	eventually(s.t, "apply", func() error {
		out, err := s.runOperator("r1", bootstrapKey, "apply", "--base", fmt.Sprint(base), "--wait", "30s", s.writeFile("base.toml", text))
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
}

func (s *system) writeFile(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// runOperator runs the operators' command line against a router.
func (s *system) runOperator(router, key string, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(binDir, "operator"), append(args, "--router", "http://"+s.routers[router].operator)...)
	cmd.Env = append(os.Environ(), "HEATHERHOLD_KEY="+key)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func (s *system) status(name string) (messenger.Status, error) {
	var status messenger.Status
	out, err := s.runOperator(name, bootstrapKey, "status", "--output", "json")
	if err != nil {
		return status, fmt.Errorf("%w: %s", err, out)
	}
	return status, json.Unmarshal([]byte(out), &status)
}

// awaitReady waits until every router is ready and lists all endpoints and
// instances.
func (s *system) awaitReady(engines int) {
	s.t.Helper()
	for name, r := range s.routers {
		eventually(s.t, name+" ready", func() error {
			status, err := s.status(name)
			if err != nil {
				return err
			}
			if got, want := len(status.Endpoints), engines+len(s.services); got != want {
				return fmt.Errorf("got %d endpoints, want %d", got, want)
			}
			if got, want := len(status.Live), len(s.routers); got != want {
				return fmt.Errorf("got %d live instances, want %d", got, want)
			}
			return checkReadyz(r)
		})
	}
}

func checkReadyz(r *router) error {
	res, err := http.Get("http://" + r.caller + "/readyz")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("got status %d, want 200", res.StatusCode)
	}
	return nil
}

// eventually calls f until it succeeds, and fails the test after waitLimit.
func eventually(t testing.TB, what string, f func() error) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// putJSON sends v as JSON to a stand-in.
func putJSON(t testing.TB, url string, v any) {
	t.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
}

func (s *system) setEngineFaults(name string, f generator.Faults) {
	s.t.Helper()
	putJSON(s.t, "http://"+s.engines[name].address+"/engine-faults", f)
}

func (s *system) setAllEngineFaults(f generator.Faults) {
	s.t.Helper()
	for name := range s.engines {
		s.setEngineFaults(name, f)
	}
}

func (s *system) setPlatformFault(f faulter.Fault) {
	s.t.Helper()
	putJSON(s.t, s.url()+"/faults", f)
}
