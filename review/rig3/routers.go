package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// router is one process of the project.
type router struct {
	name    string
	ip      string
	zone    string
	caller  string
	ready   string
	cmd     *exec.Cmd
	done    chan struct{}
	err     error
	logPath string
}

const (
	callerPort = 18227
	readyPort  = 18220
	peerPort   = 18229
)

// settings is the text that the template of the deploy file gives for a small deployment.
func settings(r *router, s *store, seeds []string) string {
	var quoted []string
	for _, x := range seeds {
		quoted = append(quoted, strconv.Quote(x))
	}
	text, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		panic(err)
	}
	out := string(text)
	out = strings.ReplaceAll(out, `[{{#seeds}}"{{.}}"{{,}}{{/seeds}}]`, "["+strings.Join(quoted, ",")+"]")
	for name, value := range map[string]string{
		"node": r.name, "zone": r.zone, "ip": r.ip, "listen.front": r.caller, "listen.ready": r.ready,
		"listen.control": fmt.Sprintf("%s:%d", r.ip, peerPort), "provider.address": s.address,
		"bounds.grace_s": "8", "bounds.retry_budget": "0.2", "bounds.budget_slack": "202", "bounds.budget_window_s": "10",
		"limits.cpu_share": "0.4", "limits.cores": "1", "limits.memory_mb": "284",
	} {
		out = strings.ReplaceAll(out, "{{"+name+"}}", value)
	}
	if strings.Contains(out, "{{") {
		panic("a placeholder of the template is not known")
	}
	return out
}

// start starts the process with the command of the deploy file.
func (r *router) start(s *store, seeds []string, dir string) error {
	path := filepath.Join(dir, r.name+".toml")
	if err := os.WriteFile(path, []byte(settings(r, s, seeds)), 0o600); err != nil {
		return err
	}
	r.logPath = filepath.Join(dir, r.name+".log")
	log, err := os.OpenFile(r.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	bin := os.Getenv("ROUTER")
	if bin == "" {
		bin = "target/router"
	}
	r.cmd = exec.Command(bin)
	r.cmd.Env = append(os.Environ(), "HEATHERHOLD_NODE_FILE="+path)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.done = make(chan struct{})
	background.Go(func() {
		r.err = r.cmd.Wait()
		_ = log.Close()
		close(r.done)
	})
	return nil
}

// freeBase returns the first three numbers of loopback addresses on which the ports of n routers are free.
func freeBase(n int) (string, error) {
	for range 50 {
		base := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		if free(base, n) {
			return base, nil
		}
	}
	return "", errors.New("no loopback addresses with free ports")
}

// operatorPort is the one that the template of the settings names.
const operatorPort = 9464

func free(base string, n int) bool {
	for i := range n {
		for _, port := range []int{callerPort, readyPort, peerPort, operatorPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", base, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func newRouter(base string, i int) *router {
	ip := fmt.Sprintf("%s.%d", base, i)
	return &router{
		name:   fmt.Sprintf("front-%d", i),
		ip:     ip,
		zone:   "z" + strconv.Itoa(i%3),
		caller: fmt.Sprintf("%s:%d", ip, callerPort),
		ready:  fmt.Sprintf("%s:%d", ip, readyPort),
	}
}

// ended reports whether the process has ended.
func (r *router) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// memory returns the resident memory of the process now and at its peak, in MB.
func (r *router) memory() (now, peak int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		n, _ := strconv.Atoi(f[1])
		switch f[0] {
		case "VmRSS:":
			now = n >> 10
		case "VmHWM:":
			peak = n >> 10
		}
	}
	return now, peak
}

// stop ends the process, by force if it takes longer than the platform grants.
func (r *router) stop() {
	if r.cmd == nil || r.ended() {
		return
	}
	_ = r.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-r.done:
	case <-time.After(8 * time.Second):
		_ = r.cmd.Process.Kill()
		<-r.done
	}
}

// kill ends the process at once.
func (r *router) kill() {
	if r.cmd == nil || r.ended() {
		return
	}
	_ = r.cmd.Process.Kill()
	<-r.done
}

// anonymous returns the memory of the process that no file backs, in MB.
func (r *router) anonymous() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, text, _ := strings.Cut(string(data), "RssAnon:")
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return 0
	}
	n, _ := strconv.Atoi(fields[0])
	return n >> 10
}
