package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig holds what a case has started.
type rig struct {
	// trouble is set if the disruption is to be played.
	trouble bool
	began   time.Time
	dir     string
	// prefix begins the loopback addresses of this run.
	prefix string
	store  *store

	mu      sync.Mutex
	record  *os.File
	routers []*router
	closers []func()

	// processes guards the starts and ends of processes. None is started once closed is set.
	processes sync.Mutex
	closed    bool
}

func newRig(record string, trouble bool) (*rig, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	r := &rig{
		trouble: trouble,
		began:   time.Now(),
		dir:     dir,
		prefix:  fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250)),
		record:  f,
	}
	r.note("disruption played: %v", trouble)
	return r, nil
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.record, line)
}

// close ends all that was started.
func (r *rig) close() {
	r.processes.Lock()
	defer r.processes.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	for _, p := range r.routers {
		p.end()
	}
	for _, f := range r.closers {
		f()
	}
	_ = os.RemoveAll(r.dir)
}

// freePort returns a port that is free at an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// The figures of a machine of the small deployment.
const (
	memoryMB       = 284
	maxDescriptors = 4100
)

// router is a process of the system.
type router struct {
	name  string
	ip    string
	front string
	ready string
	peer  string
	cmd   *exec.Cmd
	done  chan struct{}
	state string
}

// addRouter chooses the addresses of a router; start starts it.
func (r *rig) addRouter(name string) (*router, error) {
	p := &router{
		name: name,
		ip:   r.prefix + strconv.Itoa(10+len(r.routers)),
	}
	for _, a := range []*string{&p.front, &p.ready, &p.peer} {
		port, err := freePort(p.ip)
		if err != nil {
			return nil, err
		}
		*a = fmt.Sprintf("%s:%d", p.ip, port)
	}
	r.routers = append(r.routers, p)
	return p, nil
}

// settings returns the settings that the platform hands the router, as far as
// the template of the deploy file uses them.
func (r *rig) settings(p *router) map[string]any {
	var seeds []any
	for _, other := range r.routers[:min(3, len(r.routers))] {
		seeds = append(seeds, other.peer)
	}
	return map[string]any{
		"node":     p.name,
		"zone":     "hobart",
		"ip":       p.ip,
		"listen":   map[string]any{"front": p.front, "ready": p.ready, "control": p.peer},
		"seeds":    seeds,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryMB},
		"bounds":   map[string]any{"grace_s": 8, "retry_budget": 0.2, "budget_slack": 202, "budget_window_s": 10},
		"provider": map[string]any{"address": r.store.address},
	}
}

// render fills in the template of the deploy file.
func render(text string, fields map[string]any) string {
	for {
		start := strings.Index(text, "{{#")
		if start < 0 {
			break
		}
		name, rest, _ := strings.Cut(text[start+3:], "}}")
		inner, after, _ := strings.Cut(rest, "{{/"+name+"}}")
		list, _ := fields[name].([]any)
		var out strings.Builder
		for i, v := range list {
			comma := ","
			if i == len(list)-1 {
				comma = ""
			}
			out.WriteString(strings.NewReplacer("{{.}}", fmt.Sprint(v), "{{,}}", comma).Replace(inner))
		}
		text = text[:start] + out.String() + after
	}
	for {
		before, rest, ok := strings.Cut(text, "{{")
		if !ok {
			return text
		}
		path, after, _ := strings.Cut(rest, "}}")
		var v any = fields
		for name := range strings.SplitSeq(path, ".") {
			m, _ := v.(map[string]any)
			v = m[name]
		}
		text = before + fmt.Sprint(v) + after
	}
}

// start starts a router as the deploy file says, within the machine's limit of descriptors.
func (r *rig) start(p *router) error {
	r.processes.Lock()
	defer r.processes.Unlock()
	if r.closed {
		return errors.New("the case is over")
	}
	template, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		return err
	}
	settings := filepath.Join(r.dir, p.name+".toml")
	if err := os.WriteFile(settings, []byte(render(string(template), r.settings(p))), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(r.dir, p.name+".log"))
	if err != nil {
		return err
	}
	p.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec target/router", maxDescriptors))
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HEATHERHOLD_NODE_FILE=" + settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The process ends with the rig, also if that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		_ = p.cmd.Wait()
		p.state = p.cmd.ProcessState.String()
		close(p.done)
		_ = log.Close()
	})
	r.note("router %s started, clients at %s", p.name, p.front)
	return nil
}

// ended reports whether the process has ended.
func (p *router) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// end ends the process.
func (p *router) end() {
	if p.cmd == nil || p.ended() {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// isReady asks the router whether it is ready.
func (p *router) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + p.ready + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready.
func (r *rig) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, p := range r.routers {
		for !p.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("router %s is not ready: %s", p.name, r.tail(p))
			}
			time.Sleep(50 * time.Millisecond)
		}
		r.note("router %s is ready", p.name)
	}
	return nil
}

// tail returns the end of a router's log.
func (r *rig) tail(p *router) string {
	data, _ := os.ReadFile(filepath.Join(r.dir, p.name+".log"))
	return string(data[max(len(data)-1500, 0):])
}

// logLines returns how many lines of a router's log contain a text.
func (r *rig) logLines(p *router, text string) int {
	data, _ := os.ReadFile(filepath.Join(r.dir, p.name+".log"))
	return strings.Count(string(data), text)
}

// memory returns the resident memory of a router without that of files, in MB.
func (p *router) memory() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// marshal returns v as JSON.
func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
